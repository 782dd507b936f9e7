# 400,000 jobs, over ten days of the target, pass through controllers with the heap of the run line.
# The limits of the state service are far above any real one's: what is shown is memory, not rates.
seed       = 20261202
duration_s = 1090
warm_up_s  = 5
regions    = 1
zones      = 2

controllers {
  number      = 3
  cpu_share   = 1.0
  memory_mb   = 176
  max_sockets = 4000
  run         = "java -Xms56m -Xmx56m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=12m -XX:-UsePerfData -XX:-UseContainerSupport -XX:+ExitOnOutOfMemoryError -Xshare:auto -XX:SharedArchiveFile=target/springmill.jsa -Djava.locale.providers=COMPAT -Djavax.management.builder.initial=off -jar target/springmill.jar run --operator scenarios/operator.hcl --config"
}

machines {
  cpu { number = 60, cpus = 40, memory_gb = 160 }
}

teams {
  number = 10
}

jobs {
  tiny { kind = "array", priority = "normal", per_minute = 23500, cpus = 1, memory_gb = 1, images = 1, image_gb = 0.01, run_s = 0.5 }
}

users {
  poll_s  = 5
  clients = 40
}

workers {
  report_s = 2
  lease_s  = 14
  cancel_s = 44
}

state_service {
  requests_per_s    = 100000
  writes_per_s      = 20000
  writes_per_commit = 64
  latency_s         = 0.001
}

cloud {
  list_lag_s = 3
}

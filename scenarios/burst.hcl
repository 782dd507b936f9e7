# 1,200 submissions within ten seconds at today's limits of the state service (Peachtree's): what
# holds acceptance back.
seed       = 20261202
duration_s = 60
warm_up_s  = 0
regions    = 1
zones      = 2

controllers {
  number      = 3
  max_sockets = 4000
  run         = "java -Xms56m -Xmx56m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=12m -XX:-UsePerfData -XX:-UseContainerSupport -XX:+ExitOnOutOfMemoryError -Xshare:auto -XX:SharedArchiveFile=target/springmill.jsa -Djava.locale.providers=COMPAT -Djavax.management.builder.initial=off -jar target/springmill.jar run --operator scenarios/operator.hcl --config"
}

machines {
  cpu { number = 120, cpus = 40, memory_gb = 160 }
}

teams {
  number = 10
}

jobs {
  gateway { kind = "service", priority = "production", initial = 1200, ramp_s = 10, min_tasks = 1, max_tasks = 4, cpus = 1, memory_gb = 1, images = 20, image_gb = 0.2, life_s = 900 }
}

users {
  poll_s  = 5
  clients = 16
}

workers {
  report_s = 2.5
  lease_s  = 14
  cancel_s = 44
}

state_service {
  requests_per_s    = 150
  writes_per_s      = 60
  writes_per_commit = 16
}

cloud {
  list_lag_s = 6
}

# A tenth of the target size, for the slopes, with a heap of 56 MB.
base = "target.hcl"

controllers {
  run = "java -Xms56m -Xmx56m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=12m -XX:-UsePerfData -XX:-UseContainerSupport -XX:+ExitOnOutOfMemoryError -Xshare:auto -XX:SharedArchiveFile=target/springmill.jsa -Djava.locale.providers=COMPAT -Djavax.management.builder.initial=off -jar target/springmill.jar run --operator scenarios/operator.hcl --config"
}

machines {
  cpu   { number = 135 }
  small { number = 35 }
  large { number = 50 }
}

teams {
  cpus     = 30.0
  cpus_max = 90.0
  gpus     = 7.5
  gpus_max = 30.0
}

jobs {
  replicas { initial = 90, per_minute = 2.0 }
  gateway  { initial = 110, per_minute = 2.0 }
  urgent   { per_minute = 6.0 }
  sweep    { per_minute = 60.0 }
}

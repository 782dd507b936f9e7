# Half of the target size, for the slopes.
base = "target.hcl"

machines {
  cpu   { number = 675 }
  small { number = 175 }
  large { number = 250 }
}

teams {
  cpus     = 150.0
  cpus_max = 450.0
  gpus     = 7.5
  gpus_max = 30.0
}

jobs {
  replicas { initial = 450, per_minute = 10.0 }
  gateway  { initial = 550, per_minute = 10.0 }
  urgent   { per_minute = 30.0 }
  sweep    { per_minute = 300.0 }
}

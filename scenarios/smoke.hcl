# A small deployment with a killed leader: a minute that shows whether the emulator works.
seed       = 1
duration_s = 50
warm_up_s  = 15
regions    = 2
zones      = 4

controllers {
  number = 3
}

machines {
  cpu { number = 30, cpus = 16, memory_gb = 64 }
  gpu { number = 10, cpus = 64, gpus = 8, memory_gb = 256 }
}

teams {
  number   = 4
  cpus     = 100
  cpus_max = 400
  gpus     = 10
  gpus_max = 60
}

jobs {
  replicas { kind = "service", priority = "production", initial = 20, ramp_s = 5, min_tasks = 1, max_tasks = 3, cpus = 4, gpus = 1, memory_gb = 20, images = 4, image_gb = 2, life_s = 40 }
  batch    { kind = "array", priority = "low", per_minute = 60, min_tasks = 5, max_tasks = 15, cpus = 1, memory_gb = 1, image_gb = 0.5, run_s = 20 }
}

users {
  poll_s = 5
}

workers {
  report_s = 2
  lease_s  = 14
  cancel_s = 44
}

state_service {
  requests_per_s    = 120
  writes_per_s      = 20
  writes_per_commit = 12
}

cloud {
  list_lag_s = 3
}

faults {
  leader { kind = "leader_killed", at_s = 30 }
}

# Serving demand triples at once on a fleet that is full of borrowed work, and the leader is killed
# in the second half of the surge. Recalls of loans are on; borrowing-off.hcl has them off.
seed       = 1
duration_s = 96
warm_up_s  = 24
regions    = 1
zones      = 2

controllers {
  number   = 3
  operator = "deploy/borrowing.hcl"
}

machines {
  gpu { number = 5, cpus = 64, gpus = 8, memory_gb = 256, fetch_gb_per_s = 4 }
}

# The team of the model is guaranteed what the surge needs; all teams are equal.
teams {
  number   = 3
  gpus     = 12
  gpus_max = 20
}

serving {
  team           = 0
  cpus           = 2
  gpus           = 1
  memory_gb      = 8
  image_gb       = 2
  load_s         = 1.5
  requests_per_s = 20
  queue          = 8
  demand_per_s   = 64
  surge_factor   = 3
  surge_at_s     = 34
  surge_for_s    = 24
}

jobs {
  batch       { kind = "array", priority = "low", team = 1, initial = 1, min_tasks = 20, max_tasks = 20, cpus = 1, gpus = 1, memory_gb = 4, image_gb = 1, run_s = 400 }
  fine_tuning { kind = "array", priority = "normal", team = 2, initial = 1, min_tasks = 24, max_tasks = 24, cpus = 1, gpus = 1, memory_gb = 4, image_gb = 1, run_s = 400, checkpoint_s = 10, save_s = 1 }
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
  writes_per_s      = 40
  writes_per_commit = 16
}

cloud {
  list_lag_s = 3
}

faults {
  leader { kind = "leader_killed", at_s = 46 }
}

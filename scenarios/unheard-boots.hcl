# The leader is killed while machines boot; the workers that come up reach no controller, commands reach them, and the
# cloud is out: docs/incidents/2026-12-03-ran-twice.md.
base       = "smoke.hcl"
seed       = 1
duration_s = 90
warm_up_s  = 10

machines {
  cpu { number = 30, initial = 6, cpus = 16, memory_gb = 64, boot_s = 40, fetch_gb_per_s = 0.2 }
  gpu { number = 10, initial = 1, cpus = 64, gpus = 8, memory_gb = 256, boot_s = 40, fetch_gb_per_s = 0.2 }
}

faults {
  leader     { kind = "leader_killed", at_s = 12 }
  heartbeats { kind = "heartbeats_lost", at_s = 20, for_s = 45, machines = 2 }
  cloud      { kind = "cloud_down", at_s = 25, for_s = 50 }
}

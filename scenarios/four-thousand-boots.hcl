# Four thousand machines, of which 1,830 are rented as work comes. The leader is killed while they boot; the workers that come
# up reach no controller for a while, commands reach them, and the cloud is out.
base       = "four-thousand.hcl"
seed       = 1
duration_s = 160
warm_up_s  = 20

machines {
  cpu   { number = 2455, initial = 1450, cpus = 40, memory_gb = 160, boot_s = 50 }
  small { number = 636, initial = 350, cpus = 48, gpus = 2, memory_gb = 256, boot_s = 50 }
  large { number = 909, initial = 370, cpus = 96, gpus = 8, memory_gb = 768, boot_s = 50 }
}

faults {
  leader     { kind = "leader_killed", at_s = 66 }
  heartbeats { kind = "heartbeats_lost", at_s = 68, for_s = 62, machines = 40 }
  cloud      { kind = "cloud_down", at_s = 80, for_s = 60 }
}

# The target size with a rack lost, the leader killed and the state service out.
# Later failures begin once the earlier ones are over.
base = "target.hcl"

duration_s = 360
warm_up_s  = 150

faults {
  rack   { kind = "rack_lost", at_s = 160, machines = 40 }
  leader { kind = "leader_killed", at_s = 210 }
  state  { kind = "state_service_down", at_s = 270, for_s = 30 }
}

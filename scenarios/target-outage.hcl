# The target size with the state service out for 30 s.
base = "target.hcl"

duration_s = 190
warm_up_s  = 80

faults {
  state { kind = "state_service_down", at_s = 100, for_s = 30 }
}

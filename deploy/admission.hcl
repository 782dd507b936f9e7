# Bounds how long work may be accepted to wait, and sets the leader's share of the state service.
# Everything else of docs/admission.md is on without this file. Add "--operator
# deploy/admission.hcl" (or this block to the operator file in use) to the run line of every
# controller, one restart at a time, once all of them run a version that knows it.
admission {
  max_wait_s   = 900
  leader_share = 0.6
}

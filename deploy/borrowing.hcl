# Switches the recall of loans between teams on. Add "--operator deploy/borrowing.hcl" (or this
# block to the operator file in use) to the run line of every controller, one restart at a time,
# once all of them run a version that knows it. docs/borrowing.md has what to know before and how
# to go back. Without a field its default counts; an empty block is enough.
borrowing {
  max_grace_leases           = 1.0
  hold_down_ratio            = 1.0
  hold_down_half_life_leases = 20
}

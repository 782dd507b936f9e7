# Operators' settings of the emulated deployments: a fixed fleet, and a history short enough to be
# seen at work within minutes.
rentals {
  idle_boots = 100
}
users {
  pending_submissions = 512
}
history {
  retention_s = 60
}

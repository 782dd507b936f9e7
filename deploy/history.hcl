# Switches the bounded history on: add "--operator deploy/history.hcl" to the run line of every
# controller, one restart at a time. docs/history.md has what to know before and how to go back.
history {
  retention_s = 3600
}

# The same without recalls: tasks are preempted as before.
base = "borrowing.hcl"

controllers {
  operator = "deploy/admission.hcl"
}

package org.springmill.sim;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The broken rules of a test, each with its details noted once. */
final class Violations {
    private final Set<String> violations = new LinkedHashSet<>();

    void add(Rule rule, String details) {
        violations.add(rule + " " + details);
    }

    List<String> list() {
        return List.copyOf(violations);
    }
}

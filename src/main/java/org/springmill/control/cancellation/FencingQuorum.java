package org.springmill.control.cancellation;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Decides whether a controller and those that it hears may fence a partitioned zone. */
final class FencingQuorum {
    private FencingQuorum() {}

    /**
     * The controllers that are not heard, one of which may be isolated in a partitioned zone.
     *
     * @param peers all other controllers
     * @param isSilent whether a peer is not heard
     * @param mayHaveMissedAny whether a peer has said that it may have missed cancellations
     * @return empty if all peers are heard, if one that is heard has missed no cancellation, or if
     *     this controller and those that it hears are no majority and may themselves be isolated
     */
    static Optional<List<String>> silentControllers(
            Collection<String> peers,
            Predicate<String> isSilent,
            Predicate<String> mayHaveMissedAny) {
        List<String> silent = peers.stream().filter(isSilent).toList();
        boolean someoneRemembers =
                peers.stream().filter(isSilent.negate()).anyMatch(mayHaveMissedAny.negate());
        int controllers = peers.size() + 1;
        boolean isQuorum = 2 * (controllers - silent.size()) > controllers;
        boolean mayFence = !silent.isEmpty() && !someoneRemembers && isQuorum;
        return mayFence ? Optional.of(silent) : Optional.empty();
    }
}

package org.springmill.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.LiteralTree;
import com.sun.source.util.TreeScanner;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that wire names of fields, values and paths are string literals only in the protocol
 * package.
 *
 * <p>Not listed are names that stored records, the command line or metrics use with another
 * meaning: {@code done}, {@code ended}, {@code cancelled}, {@code error} and {@code start}.
 */
class WireNamesTest {
    private static final Path SOURCES = Path.of("src/main/java/org/springmill");
    private static final Path PROTOCOL = SOURCES.resolve("protocol");

    private static final Set<String> SUBMISSION_FIELDS =
            Set.of(
                    "nameId",
                    "grist",
                    "crew",
                    "shape",
                    "urgency",
                    "sacks",
                    "vcpus",
                    "cards",
                    "memGb",
                    "mould",
                    "pullGb",
                    "frames",
                    "yard",
                    "samePlace",
                    "apart",
                    "loaner",
                    "expectS",
                    "stashEveryS",
                    "stashS",
                    "dueS",
                    "waitsOn",
                    "phase");

    private static final Set<String> WORKER_FIELDS =
            Set.of(
                    "stone",
                    "addr",
                    "frame",
                    "shift",
                    "tally",
                    "baton",
                    "warningS",
                    "sack",
                    "try",
                    "cause",
                    "foreman",
                    "orders",
                    "verb",
                    "windDownS");

    private static final Set<String> CLOUD_FIELDS =
            Set.of(
                    "sku",
                    "localGb",
                    "pullGbPerS",
                    "price",
                    "marketPrice",
                    "bootS",
                    "yards",
                    "hire",
                    "count",
                    "stones",
                    "heldS",
                    "truncated");

    private static final Set<String> STATE_SERVICE_FIELDS =
            Set.of(
                    "ledgerRev",
                    "key",
                    "value",
                    "stamp",
                    "tenancy",
                    "pairs",
                    "when",
                    "writes",
                    "write",
                    "delete",
                    "failed",
                    "ttlMs",
                    "news");

    private static final Set<String> VALUES =
            Set.of(
                    "sweep",
                    "service",
                    "prod",
                    "urgent",
                    "normal",
                    "best_effort",
                    "saving",
                    "stopped",
                    "no_room",
                    "busy",
                    "no_such",
                    "halt",
                    "clear",
                    "starting");

    private static final Set<String> PATHS =
            Set.of(
                    "/submissions",
                    "/withdraw",
                    "/ready",
                    "/v1/report",
                    "/orders",
                    "/machine_types",
                    "/rentals",
                    "/store",
                    "/commit",
                    "/grants",
                    "/touch",
                    "/changes");

    /** Names of the protocol that no message of this program reads or writes. */
    private static final Set<String> UNUSED = Set.of("stored", "pulling", "/status");

    private record StringLiteral(Path file, String text) {}

    @Test
    void wireNamesAreLiteralsInTheProtocolPackageOnly() throws IOException {
        List<String> violations =
                literals()
                        .filter(literal -> !literal.file().startsWith(PROTOCOL))
                        .filter(literal -> containsWireName(literal.text()))
                        .map(literal -> literal.file() + ": \"" + literal.text() + '"')
                        .toList();
        assertEquals(List.of(), violations);
    }

    /** Guards against a renamed or mistyped entry of the lists above, which would check nothing. */
    @Test
    void everyListedNameIsInTheProtocolPackage() throws IOException {
        List<String> protocolLiterals =
                literals()
                        .filter(literal -> literal.file().startsWith(PROTOCOL))
                        .map(StringLiteral::text)
                        .toList();
        assertFalse(protocolLiterals.isEmpty(), "sources are read from " + SOURCES);
        List<String> absent =
                names().filter(name -> !UNUSED.contains(name))
                        .filter(
                                name ->
                                        protocolLiterals.stream()
                                                .noneMatch(text -> containsName(text, name)))
                        .sorted()
                        .toList();
        assertEquals(List.of(), absent);
    }

    private static Stream<String> names() {
        return Stream.of(
                        SUBMISSION_FIELDS,
                        WORKER_FIELDS,
                        CLOUD_FIELDS,
                        STATE_SERVICE_FIELDS,
                        VALUES,
                        PATHS,
                        UNUSED)
                .flatMap(Set::stream);
    }

    private static boolean containsWireName(String literal) {
        return names().anyMatch(name -> containsName(literal, name));
    }

    /** Whether a literal equals a name, is a path starting with it or contains it in quotes. */
    private static boolean containsName(String literal, String name) {
        return literal.equals(name)
                || (name.startsWith("/") && literal.startsWith(name))
                || literal.contains('"' + name + '"');
    }

    private static Stream<StringLiteral> literals() throws IOException {
        List<StringLiteral> found = new ArrayList<>();
        for (CompilationUnitTree unit : SourceFiles.parse(List.of(SOURCES))) {
            collect(unit, found);
        }
        return found.stream();
    }

    private static void collect(CompilationUnitTree unit, List<StringLiteral> found) {
        Path file = SOURCES.toAbsolutePath().relativize(Path.of(unit.getSourceFile().toUri()));
        TreeScanner<Void, Void> scanner =
                new TreeScanner<>() {
                    @Override
                    public Void visitLiteral(LiteralTree literal, Void unused) {
                        if (literal.getValue() instanceof String text) {
                            found.add(new StringLiteral(SOURCES.resolve(file), text));
                        }
                        return null;
                    }
                };
        scanner.scan(unit, null);
    }
}

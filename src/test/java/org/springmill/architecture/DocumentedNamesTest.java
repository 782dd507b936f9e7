package org.springmill.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Checks the README and the pages of docs: each class, member and package in {@code code font}
 * exists in the sources, and each link leads to an existing file and heading.
 *
 * <p>Records (docs/records, docs/incidents) keep the names that were in use when they were written,
 * so only their links are checked.
 */
class DocumentedNamesTest {
    private static final Path README = Path.of("README.md");
    private static final Path DOCS = Path.of("docs");
    private static final List<Path> RECORD_FOLDERS =
            List.of(DOCS.resolve("records"), DOCS.resolve("incidents"));

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");

    /** {@code Type} or {@code Type.member}, where a {@code *} stands for any part of a name. */
    private static final Pattern TYPE_OR_MEMBER =
            Pattern.compile(
                    "([A-Z][A-Za-z0-9*]*[a-z][A-Za-z0-9*]*(?:\\.[A-Za-z]\\w*)*)(?:\\([^)]*\\))?");

    /** A method name of at least five words, as tests have. */
    private static final Pattern LONG_METHOD_NAME =
            Pattern.compile("([a-z][a-z0-9]*(?:[A-Z][a-z0-9]*){4,})(?:\\([^)]*\\))?");

    /** A package of the project, optionally followed by a type. */
    private static final Pattern PACKAGE =
            Pattern.compile("(org\\.springmill(?:\\.[a-z]\\w*)*)(?:\\.([A-Z].*))?");

    /** A name of a setting, rule or field in lower case, optionally prefixed with its tables. */
    private static final Pattern LOWER_CASE_NAME =
            Pattern.compile("(?:[a-z0-9_]+\\.)*[a-z0-9]+(?:_[a-z0-9]+)+");

    /** A constant or an environment variable. */
    private static final Pattern UPPER_CASE_NAME = Pattern.compile("[A-Z]+(?:_[A-Z]+)+");

    private static final Pattern METRIC =
            Pattern.compile("springmill_([a-z_]+?)(?:_seconds)?(?:_total|_count|_sum)?");

    /** A metric name that the program builds from a prefix and the name of a constant. */
    private static final Pattern METRIC_WITH_CONSTANT =
            Pattern.compile("(recalls_|submissions_refused_)([a-z_]+)");

    private static final Pattern LOG_TABLE_HEADER = Pattern.compile("\\| (log )?line \\|.*");

    /**
     * Separates the parts of a quoted log line that are string literals in the sources: colons,
     * opening brackets, placeholders for values, and states, which are constants.
     */
    private static final Pattern PLACEHOLDER =
            Pattern.compile(": | \\(|\\.\\.\\.|\\b[A-Z]\\b|\\b[A-Z][A-Z_]+\\b|run-N\\b");

    private static final Pattern CONSTANT = Pattern.compile("\\b[A-Z][A-Z_]+\\b");

    private static final Pattern LINK = Pattern.compile("\\]\\(([^)\\s]+)\\)");
    private static final Pattern PATH_OF_PAGE = Pattern.compile("\\bdocs/[\\w/-]+\\.md\\b");

    private static SourceNames names;

    @BeforeAll
    static void readSources() throws IOException {
        names = SourceNames.read();
    }

    @Test
    void namesInCodeFontExistInTheSources() throws IOException {
        List<String> unknown = new ArrayList<>();
        int checked = 0;
        for (Path page : currentPages()) {
            for (Line line : proseLines(page)) {
                checked += checkNames(line, unknown);
            }
        }
        assertTrue(checked > 0, "no name in code font was found");
        assertEquals(List.of(), unknown);
    }

    @Test
    void linksLeadToFilesAndHeadings() throws IOException {
        List<String> broken = new ArrayList<>();
        int checked = 0;
        for (Path page : allPages()) {
            for (Line line : proseLines(page)) {
                checked += checkLinks(line, broken);
            }
        }
        assertTrue(checked > 0, "no link was found");
        assertEquals(List.of(), broken);
    }

    @Test
    void pagesThatAreNamedByTheirPathExist() throws IOException {
        List<String> absent = new ArrayList<>();
        for (Path page : currentPages()) {
            for (Line line : proseLines(page)) {
                Matcher path = PATH_OF_PAGE.matcher(line.text());
                while (path.find()) {
                    if (!Files.exists(Path.of(path.group()))) {
                        absent.add(line.at(path.group()));
                    }
                }
            }
        }
        assertEquals(List.of(), absent);
    }

    @Test
    void metricsSettingsRulesAndConstantsInCodeFontExistInTheSources() throws IOException {
        List<String> unknown = new ArrayList<>();
        int checked = 0;
        for (Path page : currentPages()) {
            for (Line line : proseLines(page)) {
                checked += checkSettingsAndConstants(line, unknown);
            }
        }
        assertTrue(checked > 0, "no setting or constant was found");
        assertEquals(List.of(), unknown);
    }

    /**
     * A log line quoted in a page has to be in the sources, so that a search of the log finds it.
     */
    @Test
    void quotedLogLinesAreThoseOfTheSources() throws IOException {
        List<String> unknown = new ArrayList<>();
        int checked = 0;
        for (Path page : currentPages()) {
            boolean inTableOfLogLines = false;
            for (Line line : proseLines(page)) {
                boolean inTable = line.text().startsWith("|");
                inTableOfLogLines =
                        inTable
                                && (inTableOfLogLines
                                        || LOG_TABLE_HEADER.matcher(line.text()).matches());
                if (inTableOfLogLines) {
                    checked += checkLogLine(line, unknown);
                }
            }
        }
        assertTrue(checked > 0, "no log line was found");
        assertEquals(List.of(), unknown);
    }

    /** Guards against a mistake in the patterns above that would let every document pass. */
    @Test
    void wrongNamesAreFoundAndOrdinaryWordsAreNot() {
        List<String> wrong =
                List.of(
                        "`NoSuchClass`",
                        "`Nosuchclass`",
                        "`SourceNames.noSuchMember`",
                        "`SourceNames.noSuchMember(Path)`",
                        "`NoSuch*Test`",
                        "`aTestThatWasNeverWritten`",
                        "`org.springmill.nosuchpackage`",
                        "`org.springmill.architecture.NoSuchClass`");
        List<String> right =
                List.of(
                        "`SourceNames`",
                        "`SourceNames.read`",
                        "`SourceNames.read()`",
                        "`Documented*Test`",
                        "`wrongNamesAreFoundAndOrdinaryWordsAreNot`",
                        "`org.springmill.architecture`",
                        "`org.springmill.architecture.SourceNames`",
                        "`lease_s`, `leader`, `waitsOn`, `job/<id>`, `SENT -> RUNNING`, `LOG_LEVEL`",
                        "`Retry-After`, `springmill_leading`, `mvn -B verify`, `GET /metrics`");

        List<String> unknown = new ArrayList<>();
        wrong.forEach(text -> checkNames(new Line(README, 1, text), unknown));
        assertEquals(wrong.stream().map(text -> "README.md:1: " + text).toList(), unknown);

        List<String> none = new ArrayList<>();
        right.forEach(text -> checkNames(new Line(README, 1, text), none));
        assertEquals(List.of(), none);
    }

    @Test
    void wrongMetricsSettingsAndLogLinesAreFound() {
        List<String> wrongNames =
                List.of(
                        "`no_such_setting`",
                        "`NO_SUCH_CONSTANT`",
                        "`cluster.workers.no_such_setting`",
                        "`springmill_no_such_metric`",
                        "`springmill_recalls_no_such_outcome_total`");
        List<String> wrongLines =
                List.of(
                        "| `no line of the program says so` | meaning |",
                        "| `leadership LEADING -> NO_SUCH_STATE` | meaning |",
                        "| `term N is over: ... no such reason` | meaning |");

        List<String> unknown = new ArrayList<>();
        wrongNames.forEach(text -> checkSettingsAndConstants(new Line(README, 1, text), unknown));
        wrongLines.forEach(text -> checkLogLine(new Line(README, 1, text), unknown));
        assertEquals(wrongNames.size() + wrongLines.size(), unknown.size(), unknown::toString);

        List<String> none = new ArrayList<>();
        checkSettingsAndConstants(
                new Line(
                        README,
                        1,
                        "`cluster.workers.lease_s`, `springmill_recalls_expired_total`,"
                                + " `springmill_start_seconds_count`, `ran_twice`"),
                none);
        checkLogLine(new Line(README, 1, "| `leadership LEADING -> FOLLOWING` | meaning |"), none);
        assertEquals(List.of(), none);
    }

    /** A line of a page. */
    private record Line(Path page, int number, String text) {
        String at(String what) {
            return page + ":" + number + ": " + what;
        }
    }

    /** Checks the names in a line and returns their number. */
    private static int checkNames(Line line, List<String> unknown) {
        int checked = 0;
        Matcher span = CODE_SPAN.matcher(line.text());
        while (span.find()) {
            String text = span.group(1);
            if (isName(text)) {
                checked++;
                if (!exists(text)) {
                    unknown.add(line.at(span.group()));
                }
            }
        }
        return checked;
    }

    private static boolean isName(String text) {
        return Stream.of(TYPE_OR_MEMBER, LONG_METHOD_NAME, PACKAGE)
                .anyMatch(pattern -> pattern.matcher(text).matches());
    }

    private static boolean exists(String text) {
        Matcher packaged = PACKAGE.matcher(text);
        if (packaged.matches()) {
            String type = packaged.group(2);
            return names.hasPackage(packaged.group(1)) && (type == null || exists(type));
        }
        Matcher type = TYPE_OR_MEMBER.matcher(text);
        if (type.matches()) {
            return names.hasTypeOrMember(type.group(1));
        }
        Matcher function = LONG_METHOD_NAME.matcher(text);
        return function.matches() && names.hasMemberAnywhere(function.group(1));
    }

    private static int checkSettingsAndConstants(Line line, List<String> unknown) {
        int checked = 0;
        Matcher span = CODE_SPAN.matcher(line.text());
        while (span.find()) {
            String text = span.group(1);
            if (LOWER_CASE_NAME.matcher(text).matches()
                    || UPPER_CASE_NAME.matcher(text).matches()) {
                checked++;
                boolean known =
                        text.startsWith("springmill_")
                                ? isMetric(text)
                                : Stream.of(text.split("\\."))
                                        .allMatch(DocumentedNamesTest::isLiteralOrConstant);
                if (!known) {
                    unknown.add(line.at(span.group()));
                }
            }
        }
        return checked;
    }

    /** Names of settings and rules are string literals; some values of settings are constants. */
    private static boolean isLiteralOrConstant(String name) {
        return names.hasLiteralContaining(name)
                || names.hasMemberAnywhere(name.toUpperCase(Locale.ROOT));
    }

    private static boolean isMetric(String text) {
        Matcher metric = METRIC.matcher(text);
        if (!metric.matches()) {
            return false;
        }
        String name = metric.group(1);
        Matcher parts = METRIC_WITH_CONSTANT.matcher(name);
        boolean ofConstant =
                parts.matches()
                        && names.hasLiteral(parts.group(1))
                        && names.hasMemberAnywhere(parts.group(2).toUpperCase(Locale.ROOT));
        return ofConstant || names.hasLiteral(name) || names.hasLiteral(name + "_seconds");
    }

    /** Checks the log line in the first column of a row of a table. */
    private static int checkLogLine(Line line, List<String> unknown) {
        Matcher span = CODE_SPAN.matcher(line.text().split(" \\| ", 2)[0]);
        if (!span.find()) {
            return 0;
        }
        String quoted = span.group(1);
        boolean partsExist =
                PLACEHOLDER
                        .splitAsStream(quoted)
                        .map(part -> part.replaceAll("^[^\\w]+|[^\\w]+$", ""))
                        .allMatch(names::hasLiteralContaining);
        boolean constantsExist =
                CONSTANT.matcher(quoted)
                        .results()
                        .map(MatchResult::group)
                        .filter(constant -> constant.length() > 1)
                        .allMatch(names::hasMemberAnywhere);
        if (!partsExist || !constantsExist) {
            unknown.add(line.at(span.group()));
        }
        return 1;
    }

    private static int checkLinks(Line line, List<String> broken) throws IOException {
        int checked = 0;
        Matcher link = LINK.matcher(line.text());
        while (link.find()) {
            String target = link.group(1);
            if (!target.contains("://")) {
                checked++;
                if (!targetExists(line.page(), target)) {
                    broken.add(line.at(target));
                }
            }
        }
        return checked;
    }

    private static boolean targetExists(Path page, String target) throws IOException {
        String[] pathAndHeading = target.split("#", 2);
        Path path = pathAndHeading[0].isEmpty() ? page : page.resolveSibling(pathAndHeading[0]);
        if (!Files.exists(path)) {
            return false;
        }
        return pathAndHeading.length == 1 || headings(path).contains(pathAndHeading[1]);
    }

    /** The anchors that Markdown renderers generate for a page's headings. */
    private static List<String> headings(Path page) throws IOException {
        return proseLines(page).stream()
                .map(Line::text)
                .filter(text -> text.startsWith("#"))
                .map(text -> text.replaceFirst("^#+ ", "").toLowerCase(Locale.ROOT))
                .map(text -> text.replaceAll("[^\\w\\- ]", "").replace(' ', '-'))
                .toList();
    }

    /** The lines of a page without those of fenced or indented blocks of code. */
    private static List<Line> proseLines(Path page) throws IOException {
        List<Line> lines = new ArrayList<>();
        boolean fenced = false;
        int number = 0;
        for (String text : Files.readAllLines(page)) {
            number++;
            if (text.strip().startsWith("```")) {
                fenced = !fenced;
            } else if (!fenced && !text.startsWith("    ")) {
                lines.add(new Line(page, number, text));
            }
        }
        return lines;
    }

    private static List<Path> currentPages() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(README));
        pages.addAll(pagesIn(DOCS));
        return pages;
    }

    private static List<Path> allPages() throws IOException {
        List<Path> pages = currentPages();
        for (Path folder : RECORD_FOLDERS) {
            pages.addAll(pagesIn(folder));
        }
        return pages;
    }

    private static List<Path> pagesIn(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".md")).sorted().toList();
        }
    }
}

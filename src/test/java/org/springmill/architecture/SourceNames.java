package org.springmill.architecture;

import com.sun.source.tree.BinaryTree;
import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.LiteralTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.TreeScanner;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The packages, types and members that the sources declare, including the tests. */
final class SourceNames {
    private static final Path PROGRAM = Path.of("src/main/java");
    private static final List<Path> ROOTS = List.of(PROGRAM, Path.of("src/test/java"));

    private final Set<String> packages = new HashSet<>();

    /**
     * Members of each type, nested types included; types of the same simple name share an entry.
     */
    private final Map<String, Set<String>> membersByType = new HashMap<>();

    /** String literals of the program without its tests, also as joined by {@code +}. */
    private final List<String> literals = new ArrayList<>();

    private SourceNames() {}

    /** Parses all sources. */
    static SourceNames read() throws IOException {
        SourceNames names = new SourceNames();
        SourceFiles.parse(ROOTS).forEach(names::collect);
        return names;
    }

    private void collect(CompilationUnitTree unit) {
        packages.add(unit.getPackageName().toString());
        boolean isProgram = unit.getSourceFile().getName().contains(PROGRAM.toString());
        TreeScanner<Void, Void> scanner =
                new TreeScanner<>() {
                    @Override
                    public Void visitClass(ClassTree type, Void unused) {
                        Set<String> members =
                                membersByType.computeIfAbsent(
                                        type.getSimpleName().toString(), name -> new HashSet<>());
                        type.getMembers().forEach(member -> addName(member, members));
                        return super.visitClass(type, null);
                    }

                    @Override
                    public Void visitLiteral(LiteralTree literal, Void unused) {
                        if (isProgram && literal.getValue() instanceof String text) {
                            literals.add(text);
                        }
                        return null;
                    }

                    @Override
                    public Void visitBinary(BinaryTree sum, Void unused) {
                        String joined = joinLiterals(sum);
                        if (isProgram) {
                            literals.add(joined);
                        }
                        return super.visitBinary(sum, null);
                    }
                };
        scanner.scan(unit, null);
    }

    /** Joins the string literals of a sum, with {@code {}} for each part that is not a literal. */
    private static String joinLiterals(Tree part) {
        if (part instanceof BinaryTree sum && sum.getKind() == Tree.Kind.PLUS) {
            return joinLiterals(sum.getLeftOperand()) + joinLiterals(sum.getRightOperand());
        }
        boolean isText =
                part instanceof LiteralTree literal && literal.getValue() instanceof String;
        return isText ? (String) ((LiteralTree) part).getValue() : "{}";
    }

    private static void addName(Tree member, Set<String> names) {
        if (member instanceof MethodTree method) {
            names.add(method.getName().toString());
        } else if (member instanceof VariableTree variable) {
            names.add(variable.getName().toString());
        } else if (member instanceof ClassTree type) {
            names.add(type.getSimpleName().toString());
        }
    }

    /** Whether a package, or one below it, has classes. */
    boolean hasPackage(String name) {
        return packages.stream()
                .anyMatch(found -> found.equals(name) || found.startsWith(name + "."));
    }

    /**
     * Whether a type is declared and each further part of the name is a member of the previous one.
     *
     * @param name {@code Type}, {@code Type.member} or {@code Outer.Inner.member}; a {@code *} in
     *     the first part stands for any characters
     */
    boolean hasTypeOrMember(String name) {
        String[] parts = name.split("\\.");
        if (!hasType(parts[0])) {
            return false;
        }
        for (int i = 1; i < parts.length; i++) {
            if (!membersByType.getOrDefault(parts[i - 1], Set.of()).contains(parts[i])) {
                return false;
            }
        }
        return true;
    }

    private boolean hasType(String name) {
        if (!name.contains("*")) {
            return membersByType.containsKey(name);
        }
        Pattern pattern = Pattern.compile(name.replace("*", "\\w*"));
        return membersByType.keySet().stream().anyMatch(type -> pattern.matcher(type).matches());
    }

    /** Whether some string literal of the program contains a text. */
    boolean hasLiteralContaining(String part) {
        return literals.stream().anyMatch(text -> text.contains(part));
    }

    /** Whether some string literal of the program equals a text. */
    boolean hasLiteral(String text) {
        return literals.contains(text);
    }

    /** Whether some type declares a member of that name. */
    boolean hasMemberAnywhere(String name) {
        return membersByType.values().stream().anyMatch(members -> members.contains(name));
    }
}

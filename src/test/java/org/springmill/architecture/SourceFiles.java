package org.springmill.architecture;

import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.util.JavacTask;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/** The project's sources as syntax trees. */
final class SourceFiles {
    private SourceFiles() {}

    /** Parses all Java files below some folders. */
    static List<CompilationUnitTree> parse(List<Path> folders) throws IOException {
        List<Path> sources = new ArrayList<>();
        for (Path folder : folders) {
            try (Stream<Path> tree = Files.walk(folder)) {
                tree.filter(path -> path.toString().endsWith(".java")).forEach(sources::add);
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
            JavacTask task =
                    (JavacTask)
                            compiler.getTask(
                                    null,
                                    files,
                                    null,
                                    null,
                                    null,
                                    files.getJavaFileObjectsFromPaths(sources));
            List<CompilationUnitTree> units = new ArrayList<>();
            task.parse().forEach(units::add);
            return units;
        }
    }
}

package org.springmill.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks the layers of the program. A package depends only on packages of lower layers, never on
 * another package of its own layer. The emulator uses only protocol and transport, and no package
 * of the controllers.
 */
@AnalyzeClasses(packages = "org.springmill", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
    private static final String BASE = "org.springmill.";
    private static final String EMULATOR = BASE + "emulator..";
    private static final String CONTROL = BASE + "control..";

    /** Lowest first. */
    private static final List<Set<String>> LAYERS =
            List.of(
                    Set.of("transport", "protocol"),
                    Set.of("control.storage"),
                    Set.of("control.history", "control.admission", "control.borrowing"),
                    Set.of("control.timing", "control.metrics"),
                    Set.of("control.jobs"),
                    Set.of("control.cluster"),
                    Set.of("control.api", "control.membership"),
                    Set.of("control.leadership", "control.workers", "control.cancellation"),
                    Set.of("control.scheduling"),
                    Set.of("control.autoscaling", "control.recall"),
                    Set.of("control.controller", "emulator"),
                    Set.of("cli"));

    @ArchTest
    static void aLayerDependsOnlyOnThoseBelowIt(JavaClasses program) {
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            for (String name : LAYERS.get(layer)) {
                List<String> forbidden = notBelow(layer, name);
                noClasses()
                        .that()
                        .resideInAPackage(BASE + name + "..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(forbidden.toArray(String[]::new))
                        .check(program);
            }
        }
    }

    /** The other packages of a layer, and those of all layers above it. */
    private static List<String> notBelow(int layer, String name) {
        List<String> packages = new ArrayList<>();
        for (Set<String> names : LAYERS.subList(layer, LAYERS.size())) {
            for (String other : names) {
                if (!other.equals(name)) {
                    packages.add(BASE + other + "..");
                }
            }
        }
        return packages;
    }

    @ArchTest
    static final ArchRule theEmulatorUsesNothingOfTheControllers =
            noClasses()
                    .that()
                    .resideInAPackage(EMULATOR)
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(CONTROL);

    /**
     * Of the controllers' packages, the command line uses only the one that starts a controller.
     */
    @ArchTest
    static final ArchRule theCommandLineUsesTheControllerPackageAlone =
            noClasses()
                    .that()
                    .resideInAPackage(BASE + "cli..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            LAYERS.stream()
                                    .flatMap(Set::stream)
                                    .filter(name -> name.startsWith("control."))
                                    .filter(name -> !name.equals("control.controller"))
                                    .map(name -> BASE + name + "..")
                                    .toArray(String[]::new));

    @ArchTest
    static final ArchRule everyClassBelongsToALayer =
            classes()
                    .should()
                    .resideInAnyPackage(
                            LAYERS.stream()
                                    .flatMap(Set::stream)
                                    .map(name -> BASE + name + "..")
                                    .toArray(String[]::new));

    @ArchTest
    static final ArchRule packagesHaveNoCycles =
            slices().matching("org.springmill.(**)").should().beFreeOfCycles();
}

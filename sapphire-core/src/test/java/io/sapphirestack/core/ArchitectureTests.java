package io.sapphirestack.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Guards the layering of the core module: no cycles between packages, and no I/O, threads or system
 * time in decision logic, so that tests can run it deterministically.
 */
@AnalyzeClasses(
        packages = "io.sapphirestack.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

    @ArchTest
    static final ArchRule PACKAGES_HAVE_NO_CYCLES =
            slices().matching("io.sapphirestack.core.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule CORE_DOES_NO_INPUT_OR_OUTPUT =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Thread");

    @ArchTest
    static final ArchRule ONLY_THE_CLOCK_READS_SYSTEM_TIME =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("io.sapphirestack.core.time")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime");
}

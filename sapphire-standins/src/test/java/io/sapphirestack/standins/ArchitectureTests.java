package io.sapphirestack.standins;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against cycles between the packages of the stand-ins. */
@AnalyzeClasses(
        packages = "io.sapphirestack.standins",
        importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

    @ArchTest
    static final ArchRule PACKAGES_HAVE_NO_CYCLES =
            slices().matching("io.sapphirestack.standins.(*)..").should().beFreeOfCycles();
}

package org.cranberrygauge.verification;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.cranberrygauge", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule DEPENDENCIES_POINT_ONE_WAY = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("model")
            .definedBy("org.cranberrygauge.model..")
            .layer("decision")
            .definedBy("org.cranberrygauge.decision..")
            .layer("protocol")
            .definedBy("org.cranberrygauge.protocol..")
            .layer("runtime")
            .definedBy("org.cranberrygauge.runtime..")
            .layer("proxy")
            .definedBy("org.cranberrygauge.proxy..")
            .layer("platform")
            .definedBy("org.cranberrygauge.platform..")
            .layer("gateway")
            .definedBy("org.cranberrygauge.gateway..")
            .layer("controller")
            .definedBy("org.cranberrygauge.controller..")
            .layer("operator")
            .definedBy("org.cranberrygauge.operator..")
            .layer("emulator")
            .definedBy("org.cranberrygauge.emulator..")
            .layer("verification")
            .definedBy("org.cranberrygauge.verification..")
            .whereLayer("verification")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("emulator")
            .mayOnlyBeAccessedByLayers("verification")
            .whereLayer("platform")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("proxy")
            .mayOnlyBeAccessedByLayers("platform", "verification")
            .whereLayer("gateway")
            .mayOnlyBeAccessedByLayers("verification")
            .whereLayer("controller")
            .mayOnlyBeAccessedByLayers("verification")
            .whereLayer("operator")
            .mayOnlyBeAccessedByLayers("verification")
            .whereLayer("runtime")
            .mayOnlyBeAccessedByLayers(
                    "proxy", "platform", "gateway", "controller", "operator", "emulator", "verification");

    @ArchTest
    static final ArchRule THE_MODEL_DEPENDS_ON_NOTHING_ELSE = noClasses()
            .that()
            .resideInAPackage("org.cranberrygauge.model..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.cranberrygauge.decision..", "org.cranberrygauge.protocol..");

    @ArchTest
    static final ArchRule DECISIONS_DEPEND_ON_THE_MODEL_ONLY = noClasses()
            .that()
            .resideInAPackage("org.cranberrygauge.decision..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.cranberrygauge.protocol..", "org.cranberrygauge.runtime..");

    @ArchTest
    static final ArchRule DECISIONS_READ_NO_CLOCK_AND_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage("org.cranberrygauge.model..", "org.cranberrygauge.decision..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "java.net..", "java.nio.channels..", "java.io..", "org.apache.thrift..")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class);
}

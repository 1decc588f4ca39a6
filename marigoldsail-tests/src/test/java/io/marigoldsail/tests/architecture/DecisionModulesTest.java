package io.marigoldsail.tests.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/**
 * Keeps the decision modules free of network, clocks, threads and logs, so that each can be
 * understood and tested without them.
 */
class DecisionModulesTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("io.marigoldsail");

  private static final DescribedPredicate<JavaClass> DECISIONS =
      resideInAnyPackage(
              "io.marigoldsail.admission..",
              "io.marigoldsail.routing..",
              "io.marigoldsail.retry..",
              "io.marigoldsail.placement..",
              "io.marigoldsail.guard..")
          .or(
              describe(
                  "policies and schedulers of dispatch",
                  type ->
                      type.getPackageName().equals("io.marigoldsail.dispatch")
                          && type.getSimpleName().matches(".*(Policy|Scheduler)")));

  private static final DescribedPredicate<JavaClass> FORBIDDEN_DEPENDENCIES =
      resideInAnyPackage(
              "java.net..",
              "java.nio..",
              "java.io..",
              "java.util.concurrent..",
              "java.util.logging..",
              "org.slf4j..",
              "io.netty..",
              "org.eclipse.jetty..",
              "io.prometheus..",
              "io.marigoldsail.time..",
              "io.marigoldsail.daemon..",
              "io.marigoldsail.protocol..")
          .and(describe("no Serializable", type -> !type.getName().equals("java.io.Serializable")))
          .or(
              describe(
                  "threads, loggers and clocks of the platform",
                  type ->
                      type.isAssignableTo(Thread.class)
                          || type.isAssignableTo(System.Logger.class)
                          || type.isAssignableTo(java.time.Clock.class)
                          || type.isAssignableTo(java.time.Instant.class)));

  private static ArchRule hasNoForbiddenDependencies(DescribedPredicate<JavaClass> classes) {
    return noClasses().that(classes).should().dependOnClassesThat(FORBIDDEN_DEPENDENCIES);
  }

  @Test
  void dependOnNoNetworkClockThreadOrLog() {
    assertTrue(CLASSES.stream().filter(DECISIONS).count() > 10, "no decision classes found");
    hasNoForbiddenDependencies(DECISIONS).check(CLASSES);
  }

  @Test
  void readNoClockByTheSystemClass() {
    noClasses()
        .that(DECISIONS)
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  // A rule that matches nothing always passes; this one must fail for classes that use sockets.
  @Test
  void ruleDetectsAClassThatUsesTheNetwork() {
    ArchRule rule =
        hasNoForbiddenDependencies(resideInAnyPackage("io.marigoldsail.daemon.dispatch.."));
    assertThrows(AssertionError.class, () -> rule.check(CLASSES));
  }
}

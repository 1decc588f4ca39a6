package io.marigoldsail.tests.scenario;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of the feature files in this package with real processes. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("io.marigoldsail.tests.scenario")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "io.marigoldsail.tests.scenario")
public final class ScenariosTest {}

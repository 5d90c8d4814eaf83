package org.skylarkstack.testsuite;

import io.cucumber.junit.platform.engine.Constants;
import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs all feature files.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("org/skylarkstack/testsuite")
@ConfigurationParameter(key = Constants.GLUE_PROPERTY_NAME, value = "org.skylarkstack.testsuite")
@ConfigurationParameter(key = Constants.PLUGIN_PUBLISH_QUIET_PROPERTY_NAME, value = "true")
class ScenariosTests {

}

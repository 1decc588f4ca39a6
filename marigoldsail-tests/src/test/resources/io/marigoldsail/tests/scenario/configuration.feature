Feature: Configuration in force everywhere

  # Of five concurrent publishes, one is accepted, four are refused, and all processes agree.
  Scenario: operators publish at the same moment
    Given a site with 2 entries and 2 VMs
    When 5 operators publish the base at the same moment
    Then revision 1 is in force in all processes

  # The log stores the record, but its response is lost. A retry must not create a second revision,
  # and the operator must get the actual outcome.
  Scenario: the answer to the append is lost
    Given a site with 2 entries and 2 VMs
    When the log service loses the next 3 answers
    And the base with targetDelayMillis 40 is published and accepted
    Then revision 1 is in force in all processes

  # Processes restart during a log outage. They must not run with the defaults, so they take the
  # configuration in force from their peers, and follow the log again after the outage.
  Scenario: processes restart while the log service is away
    Given a site with 2 entries and 2 VMs
    And the base with targetDelayMillis 40 is published and accepted
    And revision 1 is in force in all processes
    When the log service is down
    And vm-1 is killed
    And vm-1 starts again
    Then the members are 4 processes
    And revision 1 is in force in all processes
    When the log service is back
    And the base with targetDelayMillis 50 is published and accepted
    Then revision 2 is in force in all processes

  # The platform recreates the log without the configuration. An entry that starts afterwards would
  # run with the defaults if the configuration were not carried over.
  Scenario: the log begins again, empty
    Given a site with 2 entries and 2 VMs
    When the base with targetDelayMillis 20 is published and accepted
    And revision 1 is in force in all processes
    And the log service begins again
    And entry-1 is killed
    And entry-1 starts again
    Then entry-1 itself has revision 1 in force
    And the base with targetDelayMillis 30 is published and accepted
    And revision 2 is in force in all processes

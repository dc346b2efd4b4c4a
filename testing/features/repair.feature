Feature: Replacement of lost control replicas

  Background:
    Given three control replicas with a spare and a grace period of 1 second

  Scenario: A replica that lost its disk is readmitted
    When c3 loses its disk and starts again
    Then c3 votes again within 15 seconds
    And a manifest is accepted after c2 is killed

  Scenario: A second loss is tolerated after a spare has replaced a lost replica
    When c3 is killed
    Then c4 votes in its place within 15 seconds
    When c2 is killed as well
    Then a manifest is accepted at c1
    And c3 accepts no manifest when only it is running

  Scenario: An operator replaces a replica
    When an operator replaces c2 with c4
    Then c4 votes in its place within 15 seconds
    And the audit trail is the same at c1 and c3 and names the operator who replaced c2

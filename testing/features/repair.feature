Feature: Control replicas that are lost are replaced

  Background:
    Given three control replicas with a spare and a grace time of 1 second

  Scenario: A replica that lost its disk is admitted again
    When c3 loses its disk and starts again
    Then c3 votes again within 15 seconds
    And a manifest is accepted with c2 killed

  Scenario: A spare takes the place of a replica that stays lost, and a second one is lost then
    When c3 is killed
    Then c4 votes in its place within 15 seconds
    When c2 is killed at once
    Then a manifest is accepted at c1
    And c3 accepts nothing once it is back alone

  Scenario: An operator replaces a replica
    When an operator replaces c2 by c4
    Then c4 votes in its place within 15 seconds
    And the audit trail is the same at c1 and c3 and tells who replaced c2

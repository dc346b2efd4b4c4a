Feature: What must always hold, and what fails

  Background:
    Given three control replicas and three entry instances with one upstream

  Scenario: A request is served end to end
    When a caller asks each entry instance
    Then every answer is "answered"

  Scenario: An upstream that leaves gets no new work anywhere, a cut-off instance included
    Given entry instance e3 is silently cut off from its peers
    When the upstream announces at e1 that it is leaving
    Then no request reaches the upstream later than 3 seconds after that
    And entry instance e3 is not ready

  Scenario: A control outage does not close the fleet
    When all control replicas are killed
    And 4 seconds pass
    Then every entry instance answers callers
    And every entry instance is ready

  Scenario: A planned stop of an entry instance cuts no request
    Given the upstream works for 800 ms on each request
    When e1 is stopped gracefully with 3 requests in flight
    Then every answer is "answered"
    And e1 ends with exit code 0
    And the peers know that e1 has left

  Scenario: A planned stop of an upstream is seen to be complete
    Given the upstream works for 1200 ms on each request
    When the upstream leaves with 3 requests in flight at e2
    Then the fleet shows them in flight, and nothing in flight once they are answered

  Scenario: A killed entry instance is replaced and serves the manifest in force
    When e2 is killed
    And manifest 2 is accepted
    And e2 starts again
    Then every entry instance serves manifest 2 within 6 seconds

  Scenario: A frozen entry instance does not use leases that ended meanwhile
    Given e3 is frozen
    And entry instance e3 is silently cut off from its peers
    When the upstream announces at e1 that it is leaving
    And 4 seconds pass
    And e3 goes on
    Then no request reaches the upstream later than 3 seconds after that

  Scenario: Operators race with equal version numbers
    When 6 operators submit different manifests of version 2 at the three replicas at once
    Then exactly one of them is accepted and the others are told its digest
    And every entry instance serves manifest 2 within 6 seconds

  Scenario: An operator resends after losing the answer
    When manifest 2 is accepted
    And manifest 3 is accepted
    And all control replicas restart
    Then a resend of manifest 2 is told that it was accepted

  Scenario: An isolated control replica accepts nothing and answers no stale read
    Given control replica c1 is silently cut off
    When manifest 2 is accepted at c2
    Then c1 accepts nothing and tells no state
    And every entry instance serves manifest 2 within 6 seconds
    And c1 knows manifest 2 once it is back

  Scenario: A starting entry instance waits rather than take an old manifest
    Given control replica c1 is silently cut off
    And manifest 2 is accepted at c2
    When e2 is killed
    And c2 and c3 are killed
    And e2 starts again
    Then e2 serves no manifest
    And e2 serves manifest 2 once c2 is back

  Scenario: Connections between instances that go silent are made anew
    When everything between the instances loses track of the open connections
    And 6 seconds pass
    Then every entry instance is ready
    And manifest 2 is accepted
    And every entry instance serves manifest 2 within 6 seconds

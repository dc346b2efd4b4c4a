Feature: Guarantees under failures

  Background:
    Given three control replicas and three entry instances with one upstream

  Scenario: A request is served end to end
    When a caller sends a request to each entry instance
    Then every outcome is "answered"

  Scenario: A leaving upstream gets no new requests, not even from an isolated instance
    Given entry instance e3 is silently isolated from its peers
    When the upstream announces to e1 that it is leaving
    Then no request reaches the upstream later than 3 seconds after that
    And entry instance e3 is not ready

  Scenario: Entry instances keep serving while all control replicas are down
    When all control replicas are killed
    And 4 seconds pass
    Then every entry instance answers callers
    And every entry instance is ready

  Scenario: A planned stop of an entry instance interrupts no request
    Given the upstream takes 800 ms for each request
    When e1 is stopped gracefully with 3 requests in flight
    Then every outcome is "answered"
    And e1 exits with code 0
    And the peers no longer list e1 as a member

  Scenario: The fleet shows when a leaving upstream has finished its requests
    Given the upstream takes 1200 ms for each request
    When the upstream leaves with 3 requests in flight at e2
    Then the fleet shows them in flight, and nothing in flight once they are answered

  Scenario: A killed entry instance serves the manifest in force after its restart
    When e2 is killed
    And manifest 2 is accepted
    And e2 starts again
    Then every entry instance serves manifest 2 within 6 seconds

  Scenario: A suspended entry instance does not use leases that expired meanwhile
    Given e3 is suspended
    And entry instance e3 is silently isolated from its peers
    When the upstream announces to e1 that it is leaving
    And 4 seconds pass
    And e3 is resumed
    Then no request reaches the upstream later than 3 seconds after that

  Scenario: Exactly one of several concurrent submissions of a version is accepted
    When 6 operators concurrently submit different manifests of version 2 to the three replicas
    Then exactly one of them is accepted and the others get its digest
    And every entry instance serves manifest 2 within 6 seconds

  Scenario: A manifest resubmitted after a lost answer gets its original result
    When manifest 2 is accepted
    And manifest 3 is accepted
    And all control replicas restart
    Then resubmitting manifest 2 reports that it was accepted

  Scenario: An isolated control replica accepts no manifest and returns no stale state
    Given control replica c1 is silently isolated
    When manifest 2 is accepted at c2
    Then c1 accepts no manifest and reports no state
    And every entry instance serves manifest 2 within 6 seconds
    And c1 reports manifest 2 once its connections work again

  Scenario: A starting entry instance waits rather than use a stale manifest
    Given control replica c1 is silently isolated
    And manifest 2 is accepted at c2
    When e2 is killed
    And c2 and c3 are killed
    And e2 starts again
    Then e2 serves no manifest
    And e2 serves manifest 2 once c2 and c3 are restarted

  Scenario: Silent connections between instances are replaced
    When all open connections between the instances go silent
    And 6 seconds pass
    Then every entry instance is ready
    And manifest 2 is accepted
    And every entry instance serves manifest 2 within 6 seconds

Feature: Guarantees to callers when upstreams fail

  Background:
    Given a control replica and two entry instances with two upstreams

  Scenario: A caller gets a complete answer or none
    Given upstream u1 truncates its answers
    When 20 idempotent requests are sent
    Then every successful response is the complete answer to its own request
    And no caller gets part of an answer

  Scenario: A non-idempotent request runs at most once
    Given upstream u1 closes the connection after it has run a request
    And upstream u2 closes the connection after it has run a request
    When 10 non-idempotent requests are sent
    Then each of them ran exactly once
    And every outcome is "unknown"

  Scenario: A request reported as not run was not run
    Given upstream u1 sheds all requests
    And upstream u2 sheds all requests
    When 10 non-idempotent requests are sent
    Then every outcome is "not-run"
    And none of them ran

  Scenario: An upstream that suddenly becomes slow is avoided
    Given upstream u1 takes 700 ms for each request
    When 60 idempotent requests are sent
    Then every answer is complete
    And upstream u1 got less than a third of the requests

  Scenario: An upstream that fails fast attracts no requests
    Given upstream u1 fails all requests immediately
    When 60 idempotent requests are sent
    Then every answer is complete
    And upstream u1 got less than a third of the requests

  Scenario: Requests are answered when open connections go silent but new ones work
    When 20 idempotent requests are sent
    And the open connections to u1 and u2 go silent
    And 20 idempotent requests are sent
    Then every answer is complete

  Scenario: Load probes stay within their budget while load shifts
    Given a third upstream
    And upstream u1 takes 300 ms for each request
    When 12 callers send requests for 6 seconds
    Then no upstream was probed more often than the manifest allows

Feature: What callers are promised when upstreams fail

  Background:
    Given a control replica and two entry instances with two upstreams

  Scenario: A caller gets a whole answer or none
    Given upstream u1 sends half of its answers
    When 20 idempotent requests are sent
    Then every whole answer is the one to its own request
    And no caller gets part of an answer

  Scenario: A non-idempotent request runs at most once
    Given upstream u1 ends the connection after it has run a request
    And upstream u2 ends the connection after it has run a request
    When 10 non-idempotent requests are sent
    Then each of them ran at most once
    And the callers are told "unknown"

  Scenario: What is told not to have run was not run
    Given upstream u1 sheds
    And upstream u2 sheds
    When 10 non-idempotent requests are sent
    Then the callers are told "not-run"
    And none of them ran

  Scenario: A server that suddenly straggles is avoided
    Given upstream u1 takes 700 ms for each request
    When 60 idempotent requests are sent
    Then every answer is whole
    And upstream u1 got less than a third of them

  Scenario: A server that fails fast attracts no work
    Given upstream u1 fails at once
    When 60 idempotent requests are sent
    Then every answer is whole
    And upstream u1 got less than a third of them

  Scenario: Open connections to an upstream go silent while new ones work
    When 20 idempotent requests are sent
    And the connections to upstream u1 and u2 are lost track of
    And 20 idempotent requests are sent
    Then every answer is whole

  Scenario: Measuring stays within its budget while load shifts
    Given a third upstream
    And upstream u1 takes 300 ms for each request
    When 12 callers send requests for 6 seconds
    Then no upstream was probed more often than the manifest allows

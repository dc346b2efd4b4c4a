Feature: Our own processes know each other by their keys

  Scenario: A fleet with keys serves, refuses strangers, and takes new keys without a restart
    Given one control replica and two entry instances with keys of one authority
    Then manifest 1 comes into force on both
    And a stranger without a key is refused by peers and by control
    When the keys are replaced by new ones of the same authority
    Then manifest 2 comes into force on both

  Scenario: Operations without the token are refused and counted
    Given one control replica and two entry instances with keys of one authority
    Then a manifest and an announcement without the token are refused and counted

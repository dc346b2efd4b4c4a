Feature: Mutual TLS between instances

  Scenario: A fleet with certificates serves, refuses unauthenticated clients and reloads renewed certificates
    Given one control replica and two entry instances with certificates of one authority
    Then manifest 1 comes into force on both
    And a client without a certificate is refused by peers and by control
    When the certificates are renewed by the same authority
    Then manifest 2 comes into force on both

  Scenario: Operations with an invalid token are refused and counted
    Given one control replica and two entry instances with certificates of one authority
    Then a manifest and an announcement with an invalid token are refused and counted

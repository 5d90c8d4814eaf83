Feature: Request path
  Each accepted request gets exactly one complete response, which goes to the caller that sent it.

  Scenario: A streamed answer arrives whole through each VM
    Given a fleet of 3 VMs in 3 data centres with 1 prefill engine and 2 decode engines
    When team "registers" asks each VM for 16 tokens
    Then each answer is whole and has 16 tokens

  Scenario: A request with an unknown key is refused as not run
    Given a fleet of 3 VMs in 3 data centres with 1 prefill engine and 2 decode engines
    When a caller with an unknown key asks for 16 tokens
    Then the answer has status 401 and verdict "not-run"

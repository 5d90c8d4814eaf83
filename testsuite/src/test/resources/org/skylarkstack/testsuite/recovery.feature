Feature: Recovery
  After a failure of an engine, caller or operator, a request ends with a complete response or an explicit error.

  Scenario: A request survives an engine that cannot be reached
    Given a fleet for recovery with 2 prefill engines and 2 decode engines
    When engine "engine-0" stops
    And engine "engine-2" stops
    And 6 callers ask for 8 tokens one after another
    Then every answer is whole and has the tokens 1 to 8

  Scenario: A stream ends with an explicit error when its key is withdrawn
    Given a fleet for recovery with 1 prefill engine and 1 decode engine
    When a caller asks for 2000 tokens and its key is withdrawn while they arrive
    Then the stream ends with error "KEY_WITHDRAWN" and without an end marker

  Scenario: A keyed non-idempotent request is answered from its claim on another VM
    Given a fleet for recovery with 1 prefill engine and 1 decode engine
    When a keyed non-idempotent request is sent to two VMs
    Then both answers are equal

  Scenario: A keyed non-idempotent request is refused as not run while the store is down
    Given a fleet for recovery with 1 prefill engine and 1 decode engine
    When the store goes down
    And a keyed non-idempotent request is sent to two VMs
    Then both answers have status 503 and verdict "not-run"

  Scenario: An answer that is not streamed is whole
    Given a fleet for recovery with 1 prefill engine and 1 decode engine
    When a caller asks for 5 tokens without streaming
    Then the answer is whole and has 5 tokens

  Scenario: A graceful shutdown cuts off no stream
    Given a fleet for recovery with 1 prefill engine and 1 decode engine
    When a caller asks for 900 tokens and its VM shuts down gracefully while they arrive
    Then every answer is whole and has the tokens 1 to 900

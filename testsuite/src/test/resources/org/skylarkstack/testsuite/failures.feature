@failures
Feature: Failures
  When a component of a fleet fails, streams are complete, no booking runs twice and no engine memory leaks.

  Scenario: A stream survives the crash of its decode engine
    Given a fleet of 2 VMs for failures with 1 prefill and 2 decode engines and 10 ms a token
    When "vm-0" is asked for 300 tokens by "reader"
    And the engine that decodes for "reader" crashes after 20 tokens
    Then "reader" gets the text of the model once and whole
    And 2 engines decoded for "reader"
    And no engine holds anything in the end

  Scenario Outline: A request that crashes engines costs at most two of them
    Given a fleet of 3 VMs for failures with 4 prefill and 4 decode engines and 5 ms a token
    When a marked prompt crashes every <role> engine that runs it
    And its caller sends it 2 times through each VM
    Then it cost at least 1 and at most 2 engines
    And its last answer names the error "CRASH_SUSPECT"
    And "bystander" gets 8 tokens whole through each VM

    Examples:
      | role    |
      | prefill |
      | decode  |

  Scenario Outline: Memory of a killed daemon is freed and that of live daemons is kept
    Given a fleet of 3 VMs for failures with 1 prefill and 1 decode engine and 50 ms a token
    And the engines do not notice broken connections
    When "vm-0" is asked for 1200 tokens by "orphan"
    And "vm-1" is asked for 500 tokens by "neighbour"
    And 10 tokens were decoded for "orphan" and for "neighbour"
    And the daemon of "vm-0" is killed and <then>
    Then the engines hold nothing for "vm-0" in the end
    And nobody finished the decode for "orphan"
    And "neighbour" gets the text of the model once and whole
    And 1 engine decoded for "neighbour"

    Examples:
      | then          |
      | starts again  |
      | is not listed |

  Scenario: A daemon that is cut off from its peers keeps its memory on engines
    Given a fleet of 3 VMs for failures with 1 prefill and 1 decode engine and 50 ms a token
    When "vm-0" is asked for 500 tokens by "islander"
    And 10 tokens were decoded for "islander" and for "islander"
    And "vm-0" is cut off from its peers and is not listed
    Then "islander" gets the text of the model once and whole
    And 1 engine decoded for "islander"
    And no engine holds anything in the end

  Scenario: A stream whose connection goes silent is resumed
    Given a fleet of 2 VMs for failures with 1 prefill and 2 decode engines and 10 ms a token
    When "vm-0" is asked for 300 tokens by "reader"
    And the connections of the engine that decodes for "reader" go silent after 20 tokens
    Then "reader" gets the text of the model once and whole
    And 2 engines decoded for "reader"
    And no engine holds anything in the end

  Scenario: Completions go on and keyed bookings are refused while the store is down
    Given a fleet of 2 VMs for failures with 1 prefill and 1 decode engine and 5 ms a token
    When the store of the failing fleet is down
    Then "reader" gets 8 tokens whole through each VM
    When a booking with key "visit-1" is sent through each VM
    Then each booking has status 503 and verdict "not-run"
    And the service saw 0 bookings
    When the store of the failing fleet is up again
    Then a booking with key "visit-1" succeeds in the end
    And the service saw 1 booking

  Scenario: A keyed booking whose answer was lost is not repeated
    Given a fleet of 2 VMs for failures with 1 prefill and 1 decode engine and 5 ms a token
    When the service drops the connection of its next booking after the effect
    And a booking with key "visit-2" is sent through each VM
    Then each booking has no success and verdict "may-have-run"
    And the service saw 1 booking

  Scenario: A booking without a key whose answer was lost is not repeated
    Given a fleet of 2 VMs for failures with 1 prefill and 1 decode engine and 5 ms a token
    When the service drops the connection of its next booking after the effect
    And a booking without a key is sent through "vm-0"
    Then each booking has no success and verdict "may-have-run"
    And the service saw 1 booking

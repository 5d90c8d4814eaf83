Feature: Tickets
  An accepted change of the configuration takes effect on all VMs within seconds and is never reverted.

  Scenario: A ticket comes into force on every VM
    Given a fleet of 3 VMs in 3 data centres that takes tickets
    When operator "ann" submits ticket 2 that adds team "pumps" through VM 1
    Then ticket 2 is in force on every VM

  Scenario: Of two operators one wins and the other learns who
    Given a fleet of 3 VMs in 3 data centres that takes tickets
    When operator "ann" submits ticket 2 that adds team "pumps" through VM 0
    And operator "bob" submits ticket 2 that adds team "meals" through VM 1
    Then the last ticket is refused with error 2001 and "number 2 was taken by ann"

  Scenario: A lost reply does not lose the ticket
    Given a fleet of 3 VMs in 3 data centres that takes tickets
    And the platform loses the next 1 reply
    When operator "ann" submits ticket 2 that adds team "pumps" through VM 0
    Then the last ticket is recorded
    And ticket 2 is in force on every VM

  Scenario: Tickets are refused as not run while the platform is down, and requests go on
    Given a fleet of 3 VMs in 3 data centres that takes tickets
    And the platform is down
    When operator "ann" submits ticket 2 that adds team "pumps" through VM 0
    Then the last ticket is refused with error 2004 and "the store is unavailable"
    And the key of team "registers" works on VM 0

  Scenario: A daemon that starts without store and peers stays not ready
    Given a fleet of 1 VMs in 1 data centres that takes tickets
    And the platform is down
    When the daemon of VM 0 restarts
    Then VM 0 is not ready
    When the platform is up
    Then ticket 1 is in force on every VM

  Scenario: A data centre that is cut off refuses teams that need fresh keys
    Given a fleet of 2 VMs in 2 data centres that takes tickets
    When operator "ann" submits ticket 2 that lets key state of team "registers" be 6 seconds old through VM 0
    Then ticket 2 is in force on every VM
    When data centre "dc-1" is cut off from the platform and its peers
    Then the key of team "registers" is refused on VM 1 with error 1106
    And the key of team "registers" works on VM 0
    When data centre "dc-1" is connected again
    Then the key of team "registers" works on VM 1 again

  Scenario: A table that is restored from an older copy loses no ticket
    Given a fleet of 3 VMs in 3 data centres that takes tickets
    And the platform takes a copy of its table
    When operator "ann" submits ticket 2 that adds team "pumps" through VM 1
    Then ticket 2 is in force on every VM
    When the platform restores its table from the copy
    And operator "bob" submits ticket 3 that adds team "meals" through VM 2
    Then the last ticket is recorded
    When the daemon of VM 0 restarts
    Then ticket 3 is in force on every VM

  Scenario: The command line applies a ticket once and shows it
    Given a fleet of 1 VMs in 1 data centres that takes tickets
    When an operator applies ticket 2 on the command line twice
    Then the command succeeds
    And ticket 2 is in force on every VM
    When an operator applies ticket 9 on the command line twice
    Then the command fails

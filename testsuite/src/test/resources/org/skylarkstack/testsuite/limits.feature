Feature: Fleet-wide limits
  The rate and burst of a team apply to all VMs together, and the team can use them through any VM.

  Scenario: The rate holds through all VMs together
    Given a limited team with 300 tokens a second and a burst of 600 on 3 VMs
    When the team asks every VM without pause until 30 requests were answered and 60 refused
    Then the team received at most its rate and burst
    And each refusal is a rate limit and states that nothing ran

  Scenario: A team whose traffic comes through one VM gets close to its full rate
    Given a limited team with 600 tokens a second and a burst of 600 on 3 VMs
    When the team asks one VM without pause
    Then the team comes to receive 80 percent of its rate

  Scenario: A request above the burst is refused with a clear error
    Given a limited team with 300 tokens a second and a burst of 600 on 3 VMs
    When the team asks one VM for 1000 tokens at once
    Then the refusal names the burst of 600 tokens

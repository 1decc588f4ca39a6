Feature: Tasks in exactly one place

  # The entry that claimed the tasks dies before they end; the other one must neither lose them nor
  # start them a second time.
  Scenario: every entry in turn dies while a job runs
    Given a site with 2 entries and 2 VMs
    When job payouts of 10 tasks of 3000 ms is submitted
    And 5 tasks of job payouts run
    And entry-1 is killed
    And entry-1 starts again
    And the members are 4 processes
    And entry-2 is killed
    And entry-2 starts again
    Then job payouts ends with 10 tasks done
    And no task ran in two places and no VM was asked for more than it has

  # A restarted side process finds running tasks that it did not start. It adopts them; the VM has
  # not failed, so they must not be started elsewhere.
  Scenario: a side process dies and its successor adopts the tasks
    Given a site with 2 entries and 2 VMs
    When job payouts of 8 tasks of 4000 ms is submitted
    And 8 tasks of job payouts run
    And vm-1 is killed
    And vm-1 starts again
    Then job payouts ends with 8 tasks done
    And no task ran in two places and no VM was asked for more than it has

  # A side process is paused until its leases expire: the worker stops the tasks on its own, and the
  # entries revoke the VM and run them elsewhere. After it resumes, the side process must not start or
  # renew any of the old tasks.
  Scenario: a side process is frozen past its leases and wakes
    Given a site with 2 entries and 2 VMs
    And leases last 3000 ms
    When job watches of 4 tasks of 12000 ms is submitted
    And 4 tasks of job watches run
    And vm-1 is frozen
    Then job watches ends with 4 tasks done
    And vm-1 goes on
    And the members are 4 processes
    And no task ran in two places and no VM was asked for more than it has

  # During a log outage, running tasks continue within their leases; waiting tasks start after it.
  Scenario: the log service is away for a while
    Given a site with 2 entries and 2 VMs
    When job payouts of 6 tasks of 2000 ms is submitted
    And 6 tasks of job payouts run
    And the log service is down
    And publishing the base with targetDelayMillis 30 fails with log-unavailable
    And the log service is back
    Then job payouts ends with 6 tasks done
    And no task ran in two places and no VM was asked for more than it has

  # The records that accepted the job and claimed its tasks expire while the tasks run; then both
  # entries die at once. The restarted entries can recover the job only from a snapshot.
  @expired-records
  Scenario: both entries die at once after the records of a job expired
    Given a site with 2 entries and 2 VMs
    And leases last 20000 ms
    And the log service keeps 200 records of a stream
    When job payouts of 8 tasks of 30000 ms is submitted
    And 8 tasks of job payouts run
    And the records of stream tasks until now have expired
    And entry-1 is killed
    And entry-2 is killed
    And entry-1 starts again
    And entry-2 starts again
    And the members are 4 processes
    Then job payouts ends with 8 tasks done
    And no task ran in two places and no VM was asked for more than it has

  # A middlebox loses the state of the connections between processes: bytes are dropped and no end of
  # connection is signalled. Processes that wait for the end of the connection would wait forever, the
  # VMs would be removed and their tasks moved.
  Scenario: links between processes fall silent, one way and then the other
    Given a site with one entry and 2 VMs that reach it through a proxy
    When job payouts of 8 tasks of 6000 ms is submitted
    And 8 tasks of job payouts run
    And the open links fall silent towards the entry
    Then job payouts ends with 8 tasks done
    And the members are 3 processes
    And job returns of 8 tasks of 6000 ms is submitted
    And 8 tasks of job returns run
    And the open links fall silent from the entry
    And job returns ends with 8 tasks done
    And the members are 3 processes
    And every task was started once
    And no task ran in two places and no VM was asked for more than it has

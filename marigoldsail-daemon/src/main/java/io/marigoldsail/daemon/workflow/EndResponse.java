package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunKey;

/** What an owner says of the end of a run that was reported to it. */
enum EndResponse {
  /** The end is durable; the owner does not tell whether it ordered another attempt before. */
  ACKNOWLEDGED {
    @Override
    void apply(EndRetention retention, RunKey run, int partition) {
      retention.acknowledge(run, partition);
    }
  },
  /** The end is durable, and the owner would have called a completion superseded if it were. */
  SETTLED {
    @Override
    void apply(EndRetention retention, RunKey run, int partition) {
      retention.settle(run, partition);
    }
  },
  /** The owner may have ordered another attempt before it heard of the end. */
  SUPERSEDED {
    @Override
    void apply(EndRetention retention, RunKey run, int partition) {
      retention.supersede(run);
    }
  };

  /** Drops or withholds the end of a run of the partition. */
  abstract void apply(EndRetention retention, RunKey run, int partition);
}

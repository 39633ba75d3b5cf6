package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/** Decides which usage that is not yet in the log is replicated to a peer. */
public interface UsageReplication {

    /**
     * Returns the copy to send to a peer with the next exchange.
     *
     * @return The copy, or empty if there is nothing to send.
     */
    Optional<UsageDelta> next(String peer);

    /**
     * Records that a peer answered an exchange.
     *
     * @param copy The copy that was sent with it, or empty.
     */
    void answered(String peer, Optional<UsageDelta> copy);

    /** Records that a peer did not answer an exchange. */
    void failed(String peer);

    /**
     * Replicates to one peer: the first that answers, until it fails to answer.
     *
     * <p>Invariants: a copy carries cumulative figures, so that repeated and old copies are harmless; a figure is sent
     * until the peer acknowledged it or it is in the log; a new peer gets everything that is not in the log; a copy has
     * a bounded number of keys, and the rest follows with the next exchange. Thread-safe.
     */
    final class ToOnePeer implements UsageReplication {

        private final String gateway;

        private final UsageCounter counter;

        /** The maximum number of keys in a copy. */
        private final int keyLimit;

        /** The name of the peer that holds the copy, or {@code null}. */
        private String holder;

        /** The figures that the holder acknowledged. */
        private final Map<UsageKey, UsageFigures> acknowledged = new HashMap<>();

        /** The sequence number of the last copy. */
        private long sequence;

        /**
         * Creates a replication without a holder.
         *
         * @param keyLimit The maximum number of keys in a copy.
         */
        public ToOnePeer(String gateway, UsageCounter counter, int keyLimit) {
            this.gateway = gateway;
            this.counter = counter;
            this.keyLimit = keyLimit;
        }

        @Override
        public synchronized Optional<UsageDelta> next(String peer) {
            if (!peer.equals(holder)) {
                return Optional.empty();
            }
            Map<UsageKey, UsageFigures> unconfirmed = counter.unconfirmed();
            acknowledged.keySet().retainAll(unconfirmed.keySet());
            Map<UsageKey, UsageFigures> due = new HashMap<>();
            for (Map.Entry<UsageKey, UsageFigures> entry : unconfirmed.entrySet()) {
                boolean known = entry.getValue().equals(acknowledged.get(entry.getKey()));
                if (!known && due.size() < keyLimit) {
                    due.put(entry.getKey(), entry.getValue());
                }
            }
            if (due.isEmpty()) {
                return Optional.empty();
            }
            sequence++;
            return Optional.of(new UsageDelta(gateway, sequence, due));
        }

        @Override
        public synchronized void answered(String peer, Optional<UsageDelta> copy) {
            if (holder == null) {
                holder = peer;
                acknowledged.clear();
            }
            if (peer.equals(holder)) {
                copy.ifPresent(sent -> acknowledged.putAll(sent.totals()));
            }
        }

        @Override
        public synchronized void failed(String peer) {
            if (peer.equals(holder)) {
                holder = null;
                acknowledged.clear();
            }
        }
    }

    /**
     * Replicates nothing. A baseline without protection.
     *
     * <p>Stateless and thread-safe.
     */
    enum Disabled implements UsageReplication {
        INSTANCE;

        @Override
        public Optional<UsageDelta> next(String peer) {
            return Optional.empty();
        }

        @Override
        public void answered(String peer, Optional<UsageDelta> copy) {
            // No copies are sent.
        }

        @Override
        public void failed(String peer) {
            // No copies are sent.
        }
    }
}

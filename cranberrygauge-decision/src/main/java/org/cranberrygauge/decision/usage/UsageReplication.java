package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/** Decides which usage that is not yet in the log a peer is given a copy of. */
public interface UsageReplication {

    /**
     * Takes the copy that a peer shall get with the next exchange.
     *
     * @param peer The name of the peer.
     * @return The copy, or nothing.
     */
    Optional<UsageDelta> next(String peer);

    /**
     * Notes that a peer answered an exchange.
     *
     * @param peer The name of the peer.
     * @param copy The copy that went with it, or nothing.
     */
    void answered(String peer, Optional<UsageDelta> copy);

    /**
     * Notes that a peer did not answer.
     *
     * @param peer The name of the peer.
     */
    void failed(String peer);

    /**
     * Gives copies to one peer: the first that answers, until it fails to answer.
     *
     * <p>Invariants: a copy carries cumulative figures, so that repeated and old copies are harmless; a figure is sent
     * again until the peer acknowledged it or it stands in the log; a new peer gets all that is not in the log; a copy has
     * a bounded number of keys, and the rest follows with the next exchange. Safe for use by several threads.
     */
    final class ToOnePeer implements UsageReplication {

        /** The incarnation of this gateway. */
        private final String gateway;

        /** The counter. */
        private final UsageCounter counter;

        /** The highest number of keys in a copy. */
        private final int keyLimit;

        /** The name of the peer that holds the copy, or null. */
        private String holder;

        /** The figures that the holder acknowledged. */
        private final Map<UsageKey, UsageFigures> acknowledged = new HashMap<>();

        /** The sequence number of the last copy. */
        private long sequence;

        /**
         * Creates a replication.
         *
         * @param gateway The incarnation of this gateway.
         * @param counter The counter.
         * @param keyLimit The highest number of keys in a copy.
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
     * Gives no copies, which is the baseline without protection.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Disabled implements UsageReplication {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<UsageDelta> next(String peer) {
            return Optional.empty();
        }

        @Override
        public void answered(String peer, Optional<UsageDelta> copy) {
            // No copy is ever sent.
        }

        @Override
        public void failed(String peer) {
            // No copy is ever sent.
        }
    }
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.PersistBatch;
import io.sapphirestack.core.replication.StoredState;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Log store that fails on request and otherwise delegates to another one. */
final class FaultyLogStore implements LogStore {

    private final LogStore delegate;
    private final Switch faults;

    FaultyLogStore(LogStore delegate, Switch faults) {
        this.delegate = delegate;
        this.faults = faults;
    }

    @Override
    public StoredState load() throws LogStoreException {
        faults.check();
        return delegate.load();
    }

    @Override
    public void persist(PersistBatch batch) throws LogStoreException {
        faults.check();
        faults.delay(batch);
        delegate.persist(batch);
    }

    @Override
    public void close() throws LogStoreException {
        delegate.close();
    }

    /** Ways in which an operation of a store fails. */
    enum Fault {
        NONE {
            @Override
            void raise() {
                throw new IllegalStateException("there is no fault to raise");
            }
        },
        NO_SPACE {
            @Override
            void raise() throws LogStoreException {
                throw new LogStoreException("persist", "log", "No space left on device", null);
            }
        },
        UNEXPECTED_EXCEPTION {
            @Override
            void raise() {
                throw new IllegalStateException("simulated");
            }
        },
        NO_DIRECT_MEMORY {
            @Override
            void raise() {
                throw new OutOfMemoryError("Cannot reserve 8192 bytes of direct buffer memory");
            }
        };

        abstract void raise() throws LogStoreException;
    }

    /** Selects the fault of the stores of one voter, also of those that it opens later. */
    static final class Switch {
        private final AtomicInteger raisedCount = new AtomicInteger();
        private volatile Fault fault = Fault.NONE;
        private volatile long syncMs;

        void set(Fault next) {
            fault = next;
        }

        /**
         * Makes each sync of a disk take a time. A hard state takes two: one of its file and one of
         * the folder.
         */
        void setSyncMs(long durationMs) {
            syncMs = durationMs;
        }

        private void delay(PersistBatch batch) {
            int syncs =
                    (batch.hardState().isPresent() ? 2 : 0) + (batch.entries().isEmpty() ? 0 : 1);
            try {
                TimeUnit.MILLISECONDS.sleep(syncs * syncMs);
            } catch (InterruptedException e) {
                throw new IllegalStateException("interrupted in a simulated sync", e);
            }
        }

        int raisedCount() {
            return raisedCount.get();
        }

        private void check() throws LogStoreException {
            if (fault != Fault.NONE) {
                raisedCount.incrementAndGet();
                fault.raise();
            }
        }
    }
}

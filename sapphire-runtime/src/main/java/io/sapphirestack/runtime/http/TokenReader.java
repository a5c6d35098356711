package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.generation.GenerationService;
import io.sapphirestack.runtime.generation.TokenBatch;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Reads the tokens of one generation in order. A read that takes long, for example because a holder
 * died, continues on another thread, so that the caller can send keep-alives meanwhile. Used by one
 * thread. At most one batch is held.
 */
final class TokenReader {

    /** Longest pause between two keep-alive comments is 500 ms; the rest is for the write. */
    static final long KEEP_ALIVE_MS = 400;

    // While the owner changes, no holder may answer for the eviction time of 1,500 ms and a commit.
    private static final long UNREACHABLE_LIMIT_MS = 3_000;
    private static final long RETRY_PAUSE_MS = 100;

    private final GenerationService generations;
    private final Executor executor;
    private final MillisClock clock;
    private final GenerationId id;
    private final AccountId account;
    private long offset;
    private FutureTask<TokenBatch> pending;
    private long unreachableSinceMs = -1;

    TokenReader(
            GenerationService generations,
            Executor executor,
            MillisClock clock,
            GenerationId id,
            AccountId account,
            long fromOffset) {
        this.generations = generations;
        this.executor = executor;
        this.clock = clock;
        this.id = id;
        this.account = account;
        this.offset = fromOffset;
    }

    GenerationId id() {
        return id;
    }

    long offset() {
        return offset;
    }

    /**
     * Returns the next tokens.
     *
     * @return a batch, or empty if none came within {@link #KEEP_ALIVE_MS}
     * @throws RefusedException if the generation cannot be read any more
     */
    Optional<TokenBatch> next() throws RefusedException, IOException {
        if (pending == null) {
            pending = new FutureTask<>(() -> generations.fetch(id, account, offset, KEEP_ALIVE_MS));
            executor.execute(pending);
        }
        try {
            TokenBatch batch = pending.get(KEEP_ALIVE_MS, TimeUnit.MILLISECONDS);
            pending = null;
            unreachableSinceMs = -1;
            return Optional.of(accept(batch));
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for tokens", e);
        } catch (ExecutionException e) {
            pending = null;
            return retryOrThrow(e.getCause());
        }
    }

    // A batch that does not start at the wanted offset would repeat or skip tokens at the caller.
    private TokenBatch accept(TokenBatch batch) throws IOException {
        if (!batch.tokens().isEmpty() && batch.fromOffset() != offset) {
            throw new IOException(
                    "expected tokens from " + offset + " but got " + batch.fromOffset());
        }
        offset += batch.tokens().size();
        return batch;
    }

    private Optional<TokenBatch> retryOrThrow(Throwable cause)
            throws RefusedException, IOException {
        if (!(cause instanceof RefusedException)) {
            throw new IOException("cannot read tokens", cause);
        }
        RefusedException refused = (RefusedException) cause;
        Refusal refusal = refused.refusal();
        long nowMs = clock.nowMs();
        if (unreachableSinceMs < 0) {
            unreachableSinceMs = nowMs;
        }
        if (!refusal.code().equals("generation_unreachable")
                || nowMs - unreachableSinceMs > UNREACHABLE_LIMIT_MS) {
            throw refused;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a holder", e);
        }
        return Optional.empty();
    }
}

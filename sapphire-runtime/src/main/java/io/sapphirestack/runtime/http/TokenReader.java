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
 * Reads the tokens of one generation in order. Tokens are fetched on another thread, so that the
 * polling thread can send keep-alives during a long fetch, for example after the failure of a
 * holder. At most one batch is held in memory. Not thread-safe.
 */
final class TokenReader {

    /**
     * Longest wait for a batch, in milliseconds. Callers expect a keep-alive at least every 500 ms;
     * the difference is left for writing it.
     */
    static final long POLL_TIMEOUT_MS = 400;

    // During a change of owner, no holder may respond for the eviction time of 1,500 ms plus the
    // time of a commit.
    private static final long UNREACHABLE_LIMIT_MS = 3_000;
    private static final long RETRY_DELAY_MS = 100;

    private final GenerationService generations;
    private final Executor executor;
    private final MillisClock clock;
    private final GenerationId id;
    private final AccountId account;
    private long offset;
    private FutureTask<TokenBatch> pendingFetch;
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
     * Returns the next batch of tokens.
     *
     * @return the batch, or empty if none arrived within {@link #POLL_TIMEOUT_MS} or the generation
     *     is temporarily unreachable
     * @throws RefusedException if the generation cannot be read any more
     * @throws IOException if the thread is interrupted or the fetch fails unexpectedly
     */
    Optional<TokenBatch> pollBatch() throws RefusedException, IOException {
        if (pendingFetch == null) {
            pendingFetch =
                    new FutureTask<>(() -> generations.fetch(id, account, offset, POLL_TIMEOUT_MS));
            executor.execute(pendingFetch);
        }
        try {
            TokenBatch batch = pendingFetch.get(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            pendingFetch = null;
            unreachableSinceMs = -1;
            return Optional.of(advance(batch));
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for tokens", e);
        } catch (ExecutionException e) {
            pendingFetch = null;
            return retryOrThrow(e.getCause());
        }
    }

    // The caller would receive duplicate tokens, or miss some, if a batch started at another offset
    // than the expected one.
    private TokenBatch advance(TokenBatch batch) throws IOException {
        if (!batch.tokens().isEmpty() && batch.fromOffset() != offset) {
            throw new IOException(
                    "expected tokens from offset "
                            + offset
                            + " but received them from "
                            + batch.fromOffset());
        }
        offset += batch.tokens().size();
        return batch;
    }

    private Optional<TokenBatch> retryOrThrow(Throwable cause)
            throws RefusedException, IOException {
        if (!(cause instanceof RefusedException)) {
            throw new IOException("cannot fetch tokens", cause);
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
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before retrying to fetch tokens", e);
        }
        return Optional.empty();
    }
}

package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.runtime.generation.GenerationPhase;
import io.sapphirestack.runtime.generation.GenerationRequest;
import io.sapphirestack.runtime.generation.GenerationService;
import io.sapphirestack.runtime.generation.GenerationStatus;
import io.sapphirestack.runtime.generation.TokenBatch;
import java.util.ArrayList;
import java.util.List;

/** Generation service that holds one generation in memory. */
final class FakeGenerations implements GenerationService {

    static final GenerationId ID = GenerationId.of("g-i1-1-1-00");

    private final List<String> tokens = new ArrayList<>();
    private boolean complete;
    private boolean cancelled;
    private Refusal nextFailure;
    private AccountId owner = AccountId.of("acme");
    private long highestOffsetAsked;
    private final List<GenerationRequest> accepted = new ArrayList<>();

    synchronized void append(String... more) {
        tokens.addAll(List.of(more));
        notifyAll();
    }

    synchronized void finish() {
        complete = true;
        notifyAll();
    }

    synchronized void failNextFetch(String code, int status) {
        nextFailure = new Refusal(status, code, "d", "fetch", "i2", ExecutionState.UNKNOWN, 0);
        notifyAll();
    }

    synchronized long highestOffsetAsked() {
        return highestOffsetAsked;
    }

    synchronized boolean cancelled() {
        return cancelled;
    }

    synchronized List<GenerationRequest> accepted() {
        return List.copyOf(accepted);
    }

    @Override
    public synchronized GenerationId accept(GenerationRequest request) {
        accepted.add(request);
        owner = request.account();
        return ID;
    }

    @Override
    public synchronized TokenBatch fetch(
            GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException {
        check(id, account);
        if (nextFailure != null) {
            Refusal failure = nextFailure;
            nextFailure = null;
            throw new RefusedException(failure);
        }
        highestOffsetAsked = Math.max(highestOffsetAsked, fromOffset);
        if (fromOffset > tokens.size()) {
            throw new RefusedException(
                    Refusal.notExecuted(416, "offset_out_of_range", "fetch", "too far"));
        }
        if (fromOffset == tokens.size() && !complete) {
            try {
                wait(waitMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        int to = Math.min(tokens.size(), (int) fromOffset + 1_000);
        List<String> part = tokens.subList((int) fromOffset, to);
        boolean last = complete && to == tokens.size();
        return new TokenBatch(
                fromOffset,
                part,
                complete ? GenerationPhase.DONE : GenerationPhase.RUNNING,
                last,
                complete ? "length" : "");
    }

    @Override
    public synchronized GenerationStatus status(GenerationId id, AccountId account)
            throws RefusedException {
        check(id, account);
        return new GenerationStatus(
                id,
                GenerationPhase.RUNNING,
                new ModelPin("base", "", "1"),
                tokens.size(),
                1,
                0,
                "");
    }

    @Override
    public synchronized void cancel(GenerationId id, AccountId account) throws RefusedException {
        check(id, account);
        cancelled = true;
    }

    @Override
    public int countOwnedRunning() {
        return 0;
    }

    private void check(GenerationId id, AccountId account) throws RefusedException {
        if (!id.equals(ID) || !account.equals(owner)) {
            throw new RefusedException(Refusal.notExecuted(404, "not_found", "look-up", "none"));
        }
    }
}

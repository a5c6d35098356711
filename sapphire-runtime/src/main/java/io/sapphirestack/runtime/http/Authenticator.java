package io.sapphirestack.runtime.http;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.AccountSpec;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.OperatorSpec;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.runtime.blackboard.Blackboard;
import java.util.Optional;

/** Finds the client account or operator behind a bearer key. Thread-safe. */
final class Authenticator {

    private final Blackboard blackboard;
    private final RecordSpecResolver specs;
    private final String bootstrapHash;
    private final KeyIndex accounts;
    private final KeyIndex operators;

    /** Client account that sent a request. */
    record Caller(AccountId account, AccountSpec spec) {}

    /** Operator that sent a request. */
    record Operator(String name, boolean admin, boolean bootstrap) {}

    Authenticator(Blackboard blackboard, RecordSpecResolver specs, String bootstrapHash) {
        this.blackboard = blackboard;
        this.specs = specs;
        this.bootstrapHash = bootstrapHash;
        this.accounts =
                new KeyIndex("account", record -> specs.account(record).map(AccountSpec::keyHash));
        this.operators =
                new KeyIndex(
                        "operator", record -> specs.operator(record).map(OperatorSpec::keyHash));
    }

    Caller caller(ApiRequest request) throws RefusedException {
        requireConfiguration();
        String key = request.bearerKey().orElseThrow(Authenticator::unauthorized);
        ConfigRecord record =
                accounts.find(blackboard.control().read(), key)
                        .orElseThrow(Authenticator::unauthorized);
        AccountSpec spec = specs.account(record).orElseThrow(Authenticator::unauthorized);
        return new Caller(AccountId.of(record.key().name()), spec);
    }

    Operator operator(ApiRequest request) throws RefusedException {
        String key = request.bearerKey().orElseThrow(Authenticator::unauthorized);
        if (KeyHash.matches(bootstrapHash, key)) {
            return new Operator("bootstrap", true, true);
        }
        requireConfiguration();
        ConfigRecord record =
                operators
                        .find(blackboard.control().read(), key)
                        .orElseThrow(Authenticator::unauthorized);
        Optional<OperatorSpec> spec = specs.operator(record);
        return new Operator(
                record.key().name(), spec.map(OperatorSpec::admin).orElse(false), false);
    }

    // Before the first confirmed configuration every key would look wrong, and a caller would give
    // up instead of going to another address.
    private void requireConfiguration() throws RefusedException {
        if (blackboard.readiness().read() == Readiness.STARTING) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "not_ready",
                            "authenticate",
                            "This instance waits for its first confirmed configuration."));
        }
    }

    private static RefusedException unauthorized() {
        return new RefusedException(
                Refusal.notExecuted(
                        401,
                        "unauthorized",
                        "authenticate",
                        "The bearer key is missing or wrong."));
    }
}

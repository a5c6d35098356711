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

/** Authenticates client accounts and operators by the bearer key of a request. Thread-safe. */
final class Authenticator {

    private final Blackboard blackboard;
    private final RecordSpecResolver specs;
    private final String bootstrapKeyHash;
    private final BearerKeyIndex accounts;
    private final BearerKeyIndex operators;

    /**
     * Client account that sent a request.
     *
     * @param account identifier
     * @param spec record of the client account
     */
    record AuthenticatedAccount(AccountId account, AccountSpec spec) {}

    /**
     * Operator that sent a request.
     *
     * @param name name of the operator record, or {@code bootstrap}
     * @param admin whether the operator may change records
     * @param bootstrap whether the request was sent with the bootstrap key
     */
    record AuthenticatedOperator(String name, boolean admin, boolean bootstrap) {}

    Authenticator(Blackboard blackboard, RecordSpecResolver specs, String bootstrapKeyHash) {
        this.blackboard = blackboard;
        this.specs = specs;
        this.bootstrapKeyHash = bootstrapKeyHash;
        this.accounts =
                new BearerKeyIndex(
                        "account", record -> specs.account(record).map(AccountSpec::keyHash));
        this.operators =
                new BearerKeyIndex(
                        "operator", record -> specs.operator(record).map(OperatorSpec::keyHash));
    }

    AuthenticatedAccount authenticateAccount(ApiRequest request) throws RefusedException {
        requireConfiguration();
        String key = request.bearerKey().orElseThrow(Authenticator::unauthorized);
        ConfigRecord record =
                accounts.findRecord(blackboard.control().read(), key)
                        .orElseThrow(Authenticator::unauthorized);
        AccountSpec spec = specs.account(record).orElseThrow(Authenticator::unauthorized);
        return new AuthenticatedAccount(AccountId.of(record.key().name()), spec);
    }

    AuthenticatedOperator authenticateOperator(ApiRequest request) throws RefusedException {
        String key = request.bearerKey().orElseThrow(Authenticator::unauthorized);
        if (KeyHash.matches(bootstrapKeyHash, key)) {
            return new AuthenticatedOperator("bootstrap", true, true);
        }
        requireConfiguration();
        ConfigRecord record =
                operators
                        .findRecord(blackboard.control().read(), key)
                        .orElseThrow(Authenticator::unauthorized);
        Optional<OperatorSpec> spec = specs.operator(record);
        return new AuthenticatedOperator(
                record.key().name(), spec.map(OperatorSpec::admin).orElse(false), false);
    }

    // Before the first confirmed configuration no key is known. A refusal with status 401 would
    // make callers fail, whereas 503 makes them try another address.
    private void requireConfiguration() throws RefusedException {
        if (blackboard.readiness().read() == Readiness.STARTING) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "not_ready",
                            "authenticate",
                            "This instance is waiting for its first confirmed configuration."));
        }
    }

    private static RefusedException unauthorized() {
        return new RefusedException(
                Refusal.notExecuted(
                        401,
                        "unauthorized",
                        "authenticate",
                        "The bearer key is missing or invalid."));
    }
}

package io.sapphirestack.daemon;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.record.AccountSpec;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.record.WeightStoreSpec;
import io.sapphirestack.runtime.generation.GenerationCatalog;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Typed access to the configuration records of the published control state. A record that this
 * software cannot interpret is represented by the last specification that was read for its key; if
 * there is none, it is treated as missing. Thread-safe.
 */
final class RecordCatalog implements GenerationCatalog {

    private static final int DEFAULT_PRIORITY = 5;

    private final Supplier<ControlView> view;
    private final RecordSpecResolver specs;
    private volatile ServiceIndex serviceIndex = new ServiceIndex(ControlView.EMPTY, Set.of());
    private volatile AccountIndex accountIndex = new AccountIndex(ControlView.EMPTY, Map.of());

    /** Names of the services of one view. */
    private record ServiceIndex(ControlView view, Set<String> names) {}

    /** Accounts of one view by {@link AccountUsageTable#handleOf handle}. */
    private record AccountIndex(ControlView view, Map<Integer, AccountSpec> byHandle) {}

    RecordCatalog(Supplier<ControlView> view, RecordSpecResolver specs) {
        this.view = Objects.requireNonNull(view, "view");
        this.specs = Objects.requireNonNull(specs, "specs");
    }

    /** Returns the service of a name, or empty if there is none or the name is invalid. */
    Optional<ServiceSpec> service(String name) {
        return findSpec("service", name, specs::service);
    }

    /** Returns the names of all services. */
    Set<String> serviceNames() {
        ControlView current = view.get();
        ServiceIndex index = serviceIndex;
        if (index.view() != current) {
            index =
                    new ServiceIndex(
                            current,
                            recordsOfKind("service")
                                    .map(record -> record.key().name())
                                    .collect(Collectors.toUnmodifiableSet()));
            serviceIndex = index;
        }
        return index.names();
    }

    /** Returns the account of an identifier, or empty if there is none. */
    Optional<AccountSpec> account(AccountId id) {
        return findSpec("account", id.value(), specs::account);
    }

    /**
     * Returns the account of an authenticated caller.
     *
     * @param id identifier of the account
     * @return specification of the account
     * @throws RefusedException with status 401 if there is no such account
     */
    AccountSpec requireAccount(AccountId id) throws RefusedException {
        return account(id)
                .orElseThrow(
                        () ->
                                new RefusedException(
                                        Refusal.notExecuted(
                                                401,
                                                "unauthorized",
                                                "admission",
                                                "The client account was removed.")));
    }

    /**
     * Returns the account of a handle, as used in usage reports. If the handles of two accounts
     * collide, the account with the lower record key is returned.
     *
     * @param handle 32-bit handle, see {@link AccountUsageTable#handleOf}
     * @return specification of the account, or empty if no account has this handle
     */
    Optional<AccountSpec> accountByHandle(int handle) {
        ControlView current = view.get();
        AccountIndex index = accountIndex;
        if (index.view() != current) {
            index =
                    new AccountIndex(
                            current,
                            recordsOfKind("account")
                                    .filter(record -> specs.account(record).isPresent())
                                    .collect(
                                            Collectors.toMap(
                                                    record ->
                                                            AccountUsageTable.handleOf(
                                                                    AccountId.of(
                                                                            record.key().name())),
                                                    record -> specs.account(record).get(),
                                                    (first, second) -> first)));
            accountIndex = index;
        }
        return Optional.ofNullable(index.byHandle().get(handle));
    }

    /** Returns all models in the order of their names; empty if there are none. */
    Collection<ModelSpec> models() {
        return recordsOfKind("model")
                .flatMap(record -> specs.model(record).stream())
                .collect(Collectors.toUnmodifiableList());
    }

    /** Returns the weight store whose name comes first, or empty if there is none. */
    Optional<WeightStoreSpec> weightStore() {
        return recordsOfKind("weight-store")
                .flatMap(record -> specs.weightStore(record).stream())
                .findFirst();
    }

    /** Returns the name of the engine service if there is exactly one, else empty. */
    Optional<String> singleEngineService() {
        List<String> names =
                recordsOfKind("service")
                        .filter(
                                record ->
                                        specs.service(record)
                                                .filter(s -> s.type() == ServiceType.ENGINE)
                                                .isPresent())
                        .map(record -> record.key().name())
                        .collect(Collectors.toList());
        return names.size() == 1 ? Optional.of(names.get(0)) : Optional.empty();
    }

    @Override
    public Optional<ModelSpec> findModel(String name) {
        return findSpec("model", name, specs::model);
    }

    @Override
    public ResumeSpec resumeSpec(String service) {
        return service(service).map(ServiceSpec::resume).orElse(ResumeSpec.DEFAULT);
    }

    @Override
    public int priority(AccountId account) {
        return account(account).map(AccountSpec::priority).orElse(DEFAULT_PRIORITY);
    }

    private Stream<ConfigRecord> recordsOfKind(String kind) {
        return view.get().records().values().stream()
                .filter(record -> record.key().kind().equals(kind))
                .sorted((a, b) -> a.key().compareTo(b.key()));
    }

    // Names come from callers; a name that is invalid for a record is treated as not found.
    private <T> Optional<T> findSpec(
            String kind, String name, Function<ConfigRecord, Optional<T>> resolver) {
        try {
            return view.get().findRecord(new RecordKey(kind, name)).flatMap(resolver);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

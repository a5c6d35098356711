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
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Typed configuration of the published view, as the parts of an instance need it. Thread-safe. */
final class RecordCatalog implements GenerationCatalog {

    private static final int DEFAULT_PRIORITY = 5;

    private final Supplier<ControlView> view;
    private final RecordSpecResolver specs;
    private volatile AccountIndex accounts = new AccountIndex(ControlView.EMPTY, Map.of());

    /** Accounts by the short name that usage reports carry. */
    private record AccountIndex(ControlView view, Map<Integer, AccountSpec> byHandle) {}

    RecordCatalog(Supplier<ControlView> view, RecordSpecResolver specs) {
        this.view = Objects.requireNonNull(view, "view");
        this.specs = Objects.requireNonNull(specs, "specs");
    }

    Optional<ServiceSpec> service(String name) {
        return find("service", name, specs::service);
    }

    Optional<AccountSpec> account(AccountId id) {
        return find("account", id.value(), specs::account);
    }

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

    Optional<AccountSpec> accountByHandle(int handle) {
        ControlView current = view.get();
        AccountIndex index = accounts;
        if (index.view() != current) {
            index =
                    new AccountIndex(
                            current,
                            ofKind("account")
                                    .filter(record -> specs.account(record).isPresent())
                                    .collect(
                                            Collectors.toMap(
                                                    record ->
                                                            AccountUsageTable.handleOf(
                                                                    AccountId.of(
                                                                            record.key().name())),
                                                    record -> specs.account(record).get(),
                                                    (a, b) -> a)));
            accounts = index;
        }
        return Optional.ofNullable(index.byHandle().get(handle));
    }

    Collection<ModelSpec> models() {
        return ofKind("model")
                .flatMap(record -> specs.model(record).stream())
                .collect(Collectors.toUnmodifiableList());
    }

    Optional<WeightStoreSpec> weightStore() {
        return ofKind("weight-store")
                .flatMap(record -> specs.weightStore(record).stream())
                .findFirst();
    }

    /** Returns the engine service if there is exactly one. */
    Optional<String> onlyEngineService() {
        List<String> names =
                ofKind("service")
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
        return find("model", name, specs::model);
    }

    @Override
    public ResumeSpec resumeSpec(String service) {
        return service(service).map(ServiceSpec::resume).orElse(ResumeSpec.DEFAULT);
    }

    @Override
    public int priority(AccountId account) {
        return account(account).map(AccountSpec::priority).orElse(DEFAULT_PRIORITY);
    }

    private Stream<ConfigRecord> ofKind(String kind) {
        return view.get().records().values().stream()
                .filter(record -> record.key().kind().equals(kind))
                .sorted((a, b) -> a.key().compareTo(b.key()));
    }

    // Names come from callers, and a name that no record can have is simply not found.
    private <T> Optional<T> find(
            String kind, String name, Function<ConfigRecord, Optional<T>> read) {
        try {
            return view.get().findRecord(new RecordKey(kind, name)).flatMap(read);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

package io.mustardusher.catalogue;

import io.mustardusher.generated.BudgetDocument;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.KeyDocument;
import io.mustardusher.generated.LimitDocument;
import io.mustardusher.routing.RoutingPolicy;

/**
 * An entry of the catalogue as the nodes use it.
 *
 * @param service         name of the service
 * @param owner           owner of the service
 * @param serviceClass    class of its calls
 * @param policy          routing policy
 * @param idempotence     which calls may run more than once
 * @param deadlineMillis  deadline of a call that names none, in milliseconds
 * @param concurrency     calls in flight over all gates; 0 for no limit but the slots
 * @param queuePerSlot    calls that may wait at a gate for each slot
 * @param probesPerSecond probes a second of one entry
 * @param retryPercent    retries as a percentage of fresh calls
 * @param hedgePercent    hedged calls as a percentage of fresh calls
 * @param keyRetentionMillis time for which a key is remembered, in milliseconds
 * @param keyRequired     whether calls that are not idempotent need a key
 */
public record CatalogueEntry(
        ServiceName service,
        String owner,
        ServiceClass serviceClass,
        RoutingPolicy policy,
        Idempotence idempotence,
        long deadlineMillis,
        int concurrency,
        int queuePerSlot,
        int probesPerSecond,
        int retryPercent,
        int hedgePercent,
        long keyRetentionMillis,
        boolean keyRequired) {

    /** Milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000L;

    /**
     * Creates an entry from its document.
     *
     * @param document the document, valid against its schema
     * @return the entry
     */
    public static CatalogueEntry from(EntryDocument document) {
        LimitDocument limits = document.getLimits() == null ? new LimitDocument() : document.getLimits();
        BudgetDocument budgets = document.getBudgets() == null ? new BudgetDocument() : document.getBudgets();
        KeyDocument keys = document.getKeys() == null ? new KeyDocument() : document.getKeys();
        return new CatalogueEntry(
                ServiceName.of(document.getService()),
                document.getOwner(),
                ServiceClass.of(document.getServiceClass().value()),
                RoutingPolicy.of(document.getPolicy().value()),
                Idempotence.of(document.getIdempotence().value()),
                document.getDeadlineMillis(),
                (int) limits.getConcurrency(),
                (int) limits.getQueuePerSlot(),
                (int) budgets.getProbesPerSecond(),
                (int) budgets.getRetryPercent(),
                (int) budgets.getHedgePercent(),
                keys.getRetentionSeconds() * MILLIS_PER_SECOND,
                keys.isRequired());
    }
}

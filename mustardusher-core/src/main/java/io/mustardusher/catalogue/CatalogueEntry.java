package io.mustardusher.catalogue;

import io.mustardusher.generated.BudgetDocument;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.KeyDocument;
import io.mustardusher.generated.LimitDocument;
import io.mustardusher.routing.RoutingPolicy;

/**
 * An entry of the catalogue in the form that nodes use.
 *
 * @param service            name of the service
 * @param owner              owner of the service
 * @param serviceClass       class of its calls
 * @param policy             routing policy
 * @param idempotence        which calls may run more than once
 * @param deadlineMillis     deadline of a call that does not specify one, in milliseconds
 * @param concurrency        maximum number of calls in flight over all gates; 0 for no limit besides the slots
 * @param queuePerSlot       maximum number of queued calls at a gate for each of its slots
 * @param probesPerSecond    maximum number of probes per second that one entry sends and one gate answers
 * @param retryPercent       maximum number of retries as a percentage of fresh calls
 * @param hedgePercent       maximum number of hedged calls as a percentage of fresh calls
 * @param keyRetentionMillis time for which an idempotency key is stored, in milliseconds
 * @param keyRequired        whether calls that are not idempotent need an idempotency key
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

package io.mustardusher.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.allowance.NodeProcess;
import io.mustardusher.log.NodeLog;

/**
 * Counts the calls of limited accounts at an entry. Metrics exist for all accounts together and for those with the most
 * calls. Not thread-safe, except that the metrics may be read by any thread.
 */
final class AccountUsage {

    /** Number of accounts with metrics of their own. */
    private static final int LARGEST = 10;

    private static final String PREFIX = "allowance.account.";

    private final MetricRegistry metrics;
    private final Map<AccountName, Counts> accounts = new HashMap<>();

    AccountUsage(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    void recordGranted(AccountName account) {
        metrics.counter("allowance.granted").inc();
        counts(account).granted++;
    }

    void recordRefused(Account account) {
        metrics.counter("allowance.refused").inc();
        Counts counts = counts(account.name());
        counts.refused++;
        counts.limit = account;
    }

    void recordUnanswered(AccountName account) {
        metrics.counter("allowance.unanswered").inc();
        counts(account).unanswered++;
    }

    void recordCoordinatorChange() {
        metrics.counter("allowance.coordinatorChanged").inc();
    }

    /**
     * Returns the number of calls of an account since the start of the process.
     *
     * @param account name of the account
     * @return number of calls, with those that were refused
     */
    long calls(AccountName account) {
        Counts counts = accounts.get(account);
        return counts == null ? 0 : counts.granted + counts.refused + counts.unanswered;
    }

    /**
     * Returns the state of an account at this node.
     *
     * @param account     the account
     * @param coordinator coordinator of the account; {@code null} if there is none yet
     * @param heldShare   sum of the shares of the account that this node holds as a coordinator
     * @return the state
     */
    AllowanceState state(Account account, NodeProcess coordinator, double heldShare) {
        Counts counts = accounts.getOrDefault(account.name(), new Counts());
        return new AllowanceState(
                account.name().value(),
                account.ratePerSecond(),
                account.burst(),
                counts.granted,
                counts.refused,
                counts.unanswered,
                coordinator == null ? null : coordinator.id(),
                heldShare);
    }

    /**
     * Logs the accounts with refused calls since the last report, and selects the accounts with metrics of their own.
     *
     * @param coordinator returns the coordinator of an account
     */
    void report(Function<AccountName, NodeProcess> coordinator) {
        accounts.forEach((account, counts) -> {
            if (counts.refused > counts.reportedRefused) {
                NodeLog.LOG.accountLimited(
                        account.value(),
                        counts.limit.ratePerSecond(),
                        counts.limit.burst(),
                        counts.refused - counts.reportedRefused,
                        counts.granted - counts.reportedGranted);
            }
            if (counts.unanswered > counts.reportedUnanswered) {
                NodeLog.LOG.allowanceUnknown(
                        account.value(),
                        counts.unanswered - counts.reportedUnanswered,
                        String.valueOf(coordinator.apply(account)));
            }
        });
        List<AccountName> largest = accounts.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<AccountName, Counts> entry) ->
                                entry.getValue().sinceReport())
                        .reversed())
                .limit(LARGEST)
                .map(Map.Entry::getKey)
                .toList();
        accounts.forEach((account, counts) -> {
            setMetrics(account, counts, largest.contains(account));
            counts.startPeriod();
        });
    }

    private void setMetrics(AccountName account, Counts counts, boolean shown) {
        if (shown == counts.shown) {
            return;
        }
        counts.shown = shown;
        if (shown) {
            metrics.register(PREFIX + account + ".granted", (Gauge<Long>) () -> counts.granted);
            metrics.register(PREFIX + account + ".refused", (Gauge<Long>) () -> counts.refused);
        } else {
            metrics.remove(PREFIX + account + ".granted");
            metrics.remove(PREFIX + account + ".refused");
        }
    }

    private Counts counts(AccountName account) {
        return accounts.computeIfAbsent(account, name -> new Counts());
    }

    private static final class Counts {

        private volatile long granted;
        private volatile long refused;

        /** Limits of the account when a call of it was refused last; {@code null} before that. */
        private Account limit;

        private long unanswered;
        private long reportedGranted;
        private long reportedRefused;
        private long reportedUnanswered;
        private boolean shown;

        private long sinceReport() {
            return granted - reportedGranted + refused - reportedRefused;
        }

        private void startPeriod() {
            reportedGranted = granted;
            reportedRefused = refused;
            reportedUnanswered = unanswered;
        }
    }
}

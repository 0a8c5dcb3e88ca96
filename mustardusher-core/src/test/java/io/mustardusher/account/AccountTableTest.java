package io.mustardusher.account;

import java.util.List;
import java.util.OptionalInt;

import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class AccountTableTest {

    private static final Account FIRST = account("first");
    private static final Account SECOND = account("second");
    private static final KeyDigest KEY = KeyDigest.of("k-1");
    private static final KeyDigest OTHER_KEY = KeyDigest.of("k-2");

    @Test
    void findsAccountByAnyOfItsKeys() {
        AccountTable.Builder builder = AccountTable.builder();
        builder.add(FIRST, List.of(KEY, OTHER_KEY));
        AccountTable table = builder.build();
        assertThat(table.require(KeyDigest.of("k-2"))).isEqualTo(FIRST);
        assertThat(table.find(AccountName.of("first"))).hasValue(FIRST);
        assertThat(rejectionOf(table, "k-3")).isEqualTo(ResultCode.ACCOUNT_UNKNOWN);
    }

    // Guards against telling the caller of an account that this node cannot read that its key is wrong.
    @Test
    void doesNotBlameUnknownKeyWhileAnAccountIsUnreadable() {
        AccountTable.Builder builder = AccountTable.builder().addUnreadable();
        builder.add(FIRST, List.of(KEY));
        AccountTable table = builder.build();
        assertThat(table.require(KEY)).isEqualTo(FIRST);
        assertThat(rejectionOf(table, "k-3")).isEqualTo(ResultCode.ACCOUNT_UNREADABLE);
    }

    // Guards against an account that takes over the requests of another one by listing its key.
    @Test
    void keepsKeyWithItsFirstAccount() {
        AccountTable.Builder builder = AccountTable.builder();
        assertThat(builder.add(FIRST, List.of(KEY, KEY))).isEqualTo(0);
        assertThat(builder.add(SECOND, List.of(OTHER_KEY, KEY))).isEqualTo(1);
        assertThat(builder.build().require(KEY)).isEqualTo(FIRST);
        assertThat(builder.build().require(OTHER_KEY)).isEqualTo(SECOND);
    }

    @Test
    void countsRevokedKeysAcrossAccounts() {
        AccountTable.Builder earlier = AccountTable.builder();
        earlier.add(FIRST, List.of(KEY, OTHER_KEY));
        AccountTable.Builder later = AccountTable.builder();
        later.add(SECOND, List.of(KEY));
        assertThat(later.build().revokedSince(earlier.build())).isEqualTo(1);
        assertThat(later.build().revokedSince(AccountTable.DISABLED)).isEqualTo(0);
    }

    // Guards against digests in log lines, from which short keys could be found by trial.
    @Test
    void textOfDigestDoesNotRevealIt() {
        assertThat(KEY.toString()).isEqualTo(OTHER_KEY.toString());
    }

    private static ResultCode rejectionOf(AccountTable table, String key) {
        return assertThrows(MustardusherException.class, () -> table.require(KeyDigest.of(key)))
                .code();
    }

    private static Account account(String name) {
        return new Account(AccountName.of(name), OptionalInt.empty(), 0, 0);
    }
}

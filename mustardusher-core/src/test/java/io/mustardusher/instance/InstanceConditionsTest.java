package io.mustardusher.instance;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InstanceConditionsTest {

    @Test
    void headerHoldsAllFields() {
        for (ServerConditions conditions : new ServerConditions[] {
            new ServerConditions(17.9, false),
            new ServerConditions(0, true),
            new ServerConditions(Double.POSITIVE_INFINITY, true)
        }) {
            InstanceConditions stated = new InstanceConditions("i-1,a", conditions);
            assertThat(InstanceConditions.parse(stated.toHeader())).hasValue(stated);
        }
    }

    @Test
    void malformedHeaderIsIgnored() {
        assertThat(InstanceConditions.parse(null)).isEmpty();
        assertThat(InstanceConditions.parse("17.9")).isEmpty();
        assertThat(InstanceConditions.parse("many,0,i-1")).isEmpty();
    }
}

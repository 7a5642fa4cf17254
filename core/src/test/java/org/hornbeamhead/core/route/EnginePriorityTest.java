package org.hornbeamhead.core.route;

import static org.testng.Assert.assertEquals;

import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EnginePriorityTest {
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {OptionalInt.of(0), 0, 0},
            {OptionalInt.of(0), 2, 2},
            {OptionalInt.of(1), 0, 4},
            {OptionalInt.of(1), 2, 6},
            {OptionalInt.of(1), 7, 7},
            {OptionalInt.of(3), 0, 9},
            {OptionalInt.empty(), 0, 0},
            {OptionalInt.empty(), 1, 5},
        };
    }

    /** Guards against kinds of request that engines take for equal since their customers have the same priority. */
    @Test(dataProvider = "requests")
    public void customersAreOrderedFirstAndTheirRoutesNext(OptionalInt customer, int route, int expected) {
        assertEquals(EnginePriority.ofCustomerThenRoute(customer, route), expected);
    }

    @DataProvider
    public Object[][] services() {
        return new Object[][] {
            {new ServiceLevels(0, 1, 500), false, false},
            {new ServiceLevels(0, 1, 600), false, false},
            {new ServiceLevels(0, 1, 400), true, false},
            {new ServiceLevels(0, 2, 500), true, true},
            {new ServiceLevels(1, 2, 500), false, false},
            {ServiceLevels.NONE, false, false},
        };
    }

    /** Guards against a changed placement on services whose routes do not call for it. */
    @Test(dataProvider = "services")
    public void onlySomeServicesAreMixed(ServiceLevels levels, boolean mixed, boolean deferrable) {
        assertEquals(levels.isMixed(), mixed);
        assertEquals(levels.hasDeferrable(), deferrable);
    }
}

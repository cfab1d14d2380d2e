package protocol

// Limits of the cloud on the number of machines in one request and on one page of the list.
const (
	MaxScaleOut = 50
	MaxScaleIn  = 100
	MaxListPage = 500
)

// InstanceType is an entry of the cloud's catalog: the resources of a machine of this type, and
// its prices per hour.
type InstanceType struct {
	Name        string   `cbor:"name"`
	CPUs        float64  `cbor:"vcpus"`
	GPUs        float64  `cbor:"cards"`
	MemoryGB    float64  `cbor:"memory_gb"`
	CacheGB     float64  `cbor:"cache_gb"`
	FetchRate   float64  `cbor:"pull_gb_per_s"` // image download rate in GB per second; 0 if unknown
	Price       float64  `cbor:"price"`
	SpotPrice   float64  `cbor:"spot_price"`
	BootSeconds float64  `cbor:"ready_s"`
	Zones       []string `cbor:"yards"`
}

// Catalog lists the instance types that the cloud rents out.
type Catalog struct {
	Types []InstanceType `cbor:"looms"`
}

// ScaleOutRequest rents machines. The cloud executes only one request with a given RequestID, so
// that a retry is safe. A RequestID must not be reused for a different request.
type ScaleOutRequest struct {
	RequestID    string `cbor:"hire"`
	InstanceType string `cbor:"loom"`
	Zone         string `cbor:"yard"`
	Spot         bool   `cbor:"borrowed"`
	Count        int    `cbor:"count"`
}

// MachineIDs is the response to a ScaleOutRequest, and the body of a request to scale in.
type MachineIDs struct {
	Machines []string `cbor:"dunes"`
}

// ListedMachine is a machine in the cloud's list of rented machines.
type ListedMachine struct {
	ID           string       `cbor:"uid"`
	Endpoint     string       `cbor:"endpoint"`
	InstanceType string       `cbor:"loom"`
	Zone         string       `cbor:"yard"`
	Spot         bool         `cbor:"borrowed"`
	Stage        MachineStage `cbor:"stage"`
	AgeSeconds   float64      `cbor:"age_s"`
}

// MachineStage is the stage of a machine's life that the cloud reports.
type MachineStage string

// The stages of a listed machine.
const (
	MachineBooting MachineStage = "booting"
	MachineRunning MachineStage = "running"
	MachineFailed  MachineStage = "failed"
)

// MachineList is a page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `cbor:"dunes"`
	More     bool            `cbor:"more"`
}
